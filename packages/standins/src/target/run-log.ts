/** Logs each run that a target begins and ends, for history checking. */

import fs from 'node:fs';

/**
 * What happened: a run began, ended or crashed the target, or a request was
 * refused or withdrawn before its run began.
 */
export type RunEvent = 'begin' | 'end' | 'crash' | 'refuse' | 'withdraw';

/** One line of the log. */
export type RunRecord = {
	readonly event: RunEvent;
	readonly target: string;
	readonly requestId: string;
	readonly key: string | undefined;
	readonly method: string;
	/** The IP number that the request came from. */
	readonly source: string;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
};

/** Takes the records of all targets of a process. */
export class RunLog {
	readonly #fileDescriptor: number;

	/**
	 * @param file - The file that takes the lines.
	 */
	constructor(file: string) {
		this.#fileDescriptor = fs.openSync(file, 'a');
	}

	/**
	 * Writes a record.
	 *
	 * @param record - The record.
	 */
	append(record: RunRecord): void {
		fs.writeSync(this.#fileDescriptor, `${JSON.stringify(record)}\n`);
	}
}

/**
 * Reads the records of a file.
 *
 * @param file - The file.
 * @returns The records in order.
 */
export function readRunLog(file: string): RunRecord[] {
	return fs
		.readFileSync(file, 'utf8')
		.split('\n')
		.filter((line) => line !== '')
		.map((line) => JSON.parse(line) as RunRecord);
}

/** A log of the runs of all targets, for checking the history of calls. */

import fs from 'node:fs';

/**
 * The kind of event: a run started, ended or crashed the target, or a request
 * was refused or cancelled before its run started.
 */
export type RunEvent = 'begin' | 'end' | 'crash' | 'refuse' | 'withdraw';

/** One line of the run log. */
export type RunRecord = {
	readonly event: RunEvent;
	readonly target: string;
	readonly requestId: string;
	readonly key: string | undefined;
	readonly method: string;
	/** The IP address that the request came from. */
	readonly source: string;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
};

/** Appends records of all targets of a process to a file. */
export class RunLog {
	readonly #fileDescriptor: number;

	/**
	 * @param file - The file, with one JSON object per line.
	 */
	constructor(file: string) {
		this.#fileDescriptor = fs.openSync(file, 'a');
	}

	/**
	 * Appends a record to the file synchronously.
	 *
	 * @param record - The record to append.
	 */
	append(record: RunRecord): void {
		fs.writeSync(this.#fileDescriptor, `${JSON.stringify(record)}\n`);
	}
}

/**
 * Reads a run log.
 *
 * @param file - The file that `RunLog` wrote.
 * @returns The records in the order of writing.
 */
export function readRunLog(file: string): RunRecord[] {
	return fs
		.readFileSync(file, 'utf8')
		.split('\n')
		.filter((line) => line !== '')
		.map((line) => JSON.parse(line) as RunRecord);
}

/** The log: JSON lines on standard output. */

import process from 'node:process';
import {Logger} from 'tslog';
import type {Settings} from '../settings/settings.js';

/** The log of the process. */
export type Log = Logger<unknown>;

/** One line of the log; no line holds a caller's content or key. */
export type LogLine = {
	readonly at: string;
	readonly level: string;
	readonly host: string;
	readonly incarnation: string;
	readonly message: string;
	/** Names the call that the line is about. */
	readonly requestId?: string;
	readonly fields?: unknown;
};

const levelNumbers = {debug: 2, info: 3, warn: 4, error: 5} as const;

/**
 * Makes the log of an entry process.
 *
 * @param settings - The settings of the process.
 * @param incarnation - Names this life of the process.
 * @param write - Takes each line.
 * @returns The log.
 */
export function makeLogger(
	settings: Settings,
	incarnation: string,
	write: (line: string) => void = writeToStandardOutput,
): Log {
	const logger: Log = new Logger({
		type: 'hidden',
		minLevel: levelNumbers[settings.logs.level],
	});
	logger.attachTransport((record) => {
		const meta = record._meta as {logLevelName: string; date: Date};
		const line: LogLine = {
			at: meta.date.toISOString(),
			level: meta.logLevelName.toLowerCase(),
			host: settings.host,
			incarnation,
			...readParts(record),
		};
		write(`${JSON.stringify(line)}\n`);
	});
	return logger;
}

function readParts(
	record: Readonly<Record<string, unknown>>,
): Pick<LogLine, 'message' | 'requestId' | 'fields'> {
	const message = String(record['0']);
	const fields = record['1'];
	if (typeof fields !== 'object' || fields === null) {
		return {message, fields};
	}

	const {requestId, ...rest} = fields as {readonly requestId?: string};
	return requestId === undefined
		? {message, fields}
		: {message, requestId, fields: rest};
}

function writeToStandardOutput(line: string): void {
	process.stdout.write(line);
}

/** Logging as JSON lines to standard output. */

import process from 'node:process';
import {Logger} from 'tslog';
import type {Settings} from '../settings/settings.js';

/** The logger of the process. */
export type Log = Logger<unknown>;

/** A line of the log; none contains the content or the idempotency key of a request. */
export type LogLine = {
	readonly at: string;
	readonly level: string;
	readonly host: string;
	readonly incarnation: string;
	readonly message: string;
	/** The request that the line is about. */
	readonly requestId?: string;
	readonly fields?: unknown;
};

/** The numbers that tslog gives to the levels of the settings. */
const tslogLevels = {debug: 2, info: 3, warn: 4, error: 5} as const;

/**
 * Makes the logger of an entry process.
 *
 * @param settings - The settings of the process.
 * @param incarnation - The incarnation of the process.
 * @param write - Writes a line, including its line break.
 * @returns The logger.
 */
export function makeLogger(
	settings: Settings,
	incarnation: string,
	write: (line: string) => void = writeToStandardOutput,
): Log {
	const logger: Log = new Logger({
		type: 'hidden',
		minLevel: tslogLevels[settings.logs.level],
	});
	logger.attachTransport((record) => {
		const meta = record._meta as {logLevelName: string; date: Date};
		const line: LogLine = {
			at: meta.date.toISOString(),
			level: meta.logLevelName.toLowerCase(),
			host: settings.host,
			incarnation,
			...splitRecord(record),
		};
		write(`${JSON.stringify(line)}\n`);
	});
	return logger;
}

function splitRecord(
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

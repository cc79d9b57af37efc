/** Logs and counts the events of one target's requests. */

import type {IncomingMessage} from 'node:http';
import {targetHeaders, type Clock} from '@bilberryscale/core';
import type {RunEvent, RunLog} from './run-log.js';

/** The options of a `RunRecorder`. */
export type RunRecorderOptions = {
	readonly target: string;
	readonly clock: Clock;
	readonly log: RunLog;
};

/** Writes the events of one target to the run log and counts them. */
export class RunRecorder {
	readonly #options: RunRecorderOptions;
	readonly #counts: Record<RunEvent, number> = {
		begin: 0,
		end: 0,
		crash: 0,
		refuse: 0,
		withdraw: 0,
	};

	/**
	 * @param options - The target, the clock and the log.
	 */
	constructor(options: RunRecorderOptions) {
		this.#options = options;
	}

	/**
	 * Gets the number of events of a kind.
	 *
	 * @param event - The kind of event.
	 * @returns The count since the creation of the target.
	 */
	getCount(event: RunEvent): number {
		return this.#counts[event];
	}

	/**
	 * Logs and counts an event.
	 *
	 * @param event - The kind of event.
	 * @param request - The request that it concerns.
	 */
	record(event: RunEvent, request: IncomingMessage): void {
		this.#counts[event]++;
		const {target, clock, log} = this.#options;
		log.append({
			event,
			target,
			requestId: String(request.headers[targetHeaders.requestId]),
			key: getFirstValue(request.headers[targetHeaders.idempotencyKey]),
			method: request.method ?? '',
			source: request.socket.remoteAddress ?? '',
			atMs: clock.now().getTime(),
		});
	}
}

function getFirstValue(
	value: string | string[] | undefined,
): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

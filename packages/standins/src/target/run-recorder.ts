/** Logs and counts what happens to the requests of one target. */

import type {IncomingMessage} from 'node:http';
import {targetHeaders, type Clock} from '@bilberryscale/core';
import type {RunEvent, RunLog} from './run-log.js';

/** What a recorder works with. */
export type RunRecorderOptions = {
	readonly target: string;
	readonly clock: Clock;
	readonly log: RunLog;
};

/** The log and the counts of one target. */
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
	 * @param options - Whose requests and where they are logged.
	 */
	constructor(options: RunRecorderOptions) {
		this.#options = options;
	}

	/**
	 * Gets how often something happened.
	 *
	 * @param event - What.
	 * @returns The number of times.
	 */
	getCount(event: RunEvent): number {
		return this.#counts[event];
	}

	/**
	 * Logs what happened to a request.
	 *
	 * @param event - What happened.
	 * @param request - The request.
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

function getFirstValue(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

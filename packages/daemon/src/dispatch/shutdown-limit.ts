/** Compares the time that is left of a shutdown with the time that requests take. */

import type {Clock, ServiceName} from '@bilberryscale/core';
import type {CallIdentity} from '../pipeline/exchange.js';
import {answeredShare} from './answered-share.js';
import {RecentDurations} from './recent-durations.js';

/** The dependencies of a limit. */
export type ShutdownLimitOptions = {
	readonly clock: Clock;
	/** Gets when open requests are ended because the host shuts down, on the monotonic clock, in milliseconds; infinite before. */
	readonly getShutdownMs: () => number;
};

/** Knows how long the requests of each service have recently taken. */
export class ShutdownLimit {
	readonly #options: ShutdownLimitOptions;
	readonly #durations = new Map<ServiceName, RecentDurations>();

	/**
	 * @param options - The clock and the end of the shutdown.
	 */
	constructor(options: ShutdownLimitOptions) {
		this.#options = options;
	}

	/**
	 * Checks whether a request that starts now would probably be ended by the shutdown. A request whose own
	 * deadline comes first would not, nor one of a service that has served none yet while there is time.
	 *
	 * @param identity - The request.
	 * @returns Whether it is too late for the request.
	 */
	isTooLate({dispatcher, deadlineMs}: CallIdentity): boolean {
		const {clock, getShutdownMs} = this.#options;
		const shutdownMs = getShutdownMs();
		if (deadlineMs <= shutdownMs) {
			return false;
		}

		const usualMs =
			this.#durations
				.get(dispatcher.service.name)
				?.getQuantileMs(answeredShare) ?? 0;
		return clock.monotonicMs() + usualMs > shutdownMs;
	}

	/**
	 * Adds how long a served request took.
	 *
	 * @param identity - The request.
	 * @param durationMs - The time from its start to its response, in milliseconds.
	 */
	addDuration({dispatcher}: CallIdentity, durationMs: number): void {
		const {name} = dispatcher.service;
		const durations = this.#durations.get(name) ?? new RecentDurations();
		this.#durations.set(name, durations);
		durations.add(durationMs);
	}
}

/** Shuts the servers for requests down so that each accepted request is answered. */

import type {Clock} from '@bilberryscale/core';
import {
	waitForPendingIo,
	type CallerListener,
	type OpenRequest,
} from '@bilberryscale/daemon/edge';
import type {EventFields, EventLog} from '../records/event-log.js';
import {
	makeShutdownSchedule,
	type ShutdownSchedule,
} from './shutdown-schedule.js';

/** A server whose requests are answered before the process exits. */
export type DrainedServer = Pick<
	CallerListener,
	| 'endRequests'
	| 'getConnectionCount'
	| 'getOpenRequests'
	| 'refuseLateRequests'
> & {
	/** Stops accepting connections and requests; each connection closes after its last pending response. */
	readonly close: () => void;
};

/** The servers and the dependencies. */
export type GracefulShutdownOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Gets the servers for requests. */
	readonly getServers: () => readonly DrainedServer[];
	/** Gets how many requests the host works on. */
	readonly getRunningCount: () => number;
};

const pollIntervalMs = 50;
/** How many requests without an answer a log line names. */
const maxLoggedRequests = 20;

/** The shutdown of a host, from the request for it to the last answer. */
export class GracefulShutdown {
	readonly #options: GracefulShutdownOptions;
	#schedule: ShutdownSchedule | undefined;

	/**
	 * @param options - The servers and the dependencies.
	 */
	constructor(options: GracefulShutdownOptions) {
		this.#options = options;
	}

	/** Whether the shutdown has been requested. */
	get isRequested(): boolean {
		return this.#schedule !== undefined;
	}

	/** When open requests are ended, on the monotonic clock, in milliseconds; infinite before the request. */
	get endsRequestsAtMs(): number {
		return this.#schedule?.endsRequestsAtMs ?? Number.POSITIVE_INFINITY;
	}

	/** When load balancers have noticed and the last pending requests are read, on the monotonic clock, in milliseconds; infinite before the request. */
	get acceptsUntilMs(): number {
		return this.#schedule?.acceptsUntilMs ?? Number.POSITIVE_INFINITY;
	}

	/** Whether a request that is read now is refused, as it came too late. */
	get isRefusing(): boolean {
		return this.#options.clock.monotonicMs() > this.acceptsUntilMs;
	}

	/**
	 * Keeps serving until load balancers have noticed, closes the servers, gives
	 * open requests time to finish and then answers those that are left.
	 *
	 * @param shutdownMs - How long the shutdown may take, in milliseconds.
	 * @param earliestRequestMs - The earliest time at which it may have been requested, on the monotonic clock, in milliseconds; now by default.
	 */
	async run(shutdownMs: number, earliestRequestMs?: number): Promise<void> {
		const {clock, log, getServers, getRunningCount} = this.#options;
		const handledMs = clock.monotonicMs();
		const schedule = makeShutdownSchedule({
			earliestRequestMs: earliestRequestMs ?? handledMs,
			shutdownMs,
		});
		this.#schedule = schedule;
		log.writeState('process stopping', {
			openCalls: getRunningCount(),
			signalDelayMs: Math.round(handledMs - (earliestRequestMs ?? handledMs)),
		});
		const servers = getServers();
		await this.#waitUntil(schedule.closesAtMs);
		await waitForPendingIo();
		for (const server of servers) {
			server.close();
		}

		await this.#waitForConnections(schedule.endsRequestsAtMs);
		// After a blockage, answers may have arrived that are not read yet.
		await waitForPendingIo();
		if (servers.some((server) => server.getOpenRequests().length > 0)) {
			this.#logOpenRequests('requests ended by the shutdown');
		}

		for (const server of servers) {
			server.endRequests();
		}

		await this.#waitForConnections(schedule.exitsAtMs);
		this.#logOpenRequests('process stopped');
	}

	/** Waits until no connection is left on which a response is pending or being delivered, or until a time. */
	async #waitForConnections(untilMs: number): Promise<void> {
		const {getServers} = this.#options;
		await this.#waitUntil(untilMs, () =>
			getServers().every((server) => server.getConnectionCount() === 0),
		);
	}

	/** Waits until a time or an earlier end, and refuses requests as soon as it is too late for them. */
	async #waitUntil(
		untilMs: number,
		isOver: () => boolean = () => false,
	): Promise<void> {
		const {clock, getServers} = this.#options;
		for (;;) {
			const remainingMs = untilMs - clock.monotonicMs();
			if (remainingMs <= 0 || isOver()) {
				return;
			}

			const refused = getServers().flatMap((server) =>
				server.refuseLateRequests(),
			);
			if (refused.length > 0) {
				this.#logRequests('requests refused by the shutdown', refused);
			}

			await this.#sleep(Math.min(pollIntervalMs, remainingMs));
		}
	}

	/** Writes how many requests have no answer yet, and names some of them. */
	#logOpenRequests(message: string): void {
		const {getServers} = this.#options;
		const requests = getServers().flatMap((server) => server.getOpenRequests());
		this.#logRequests(message, requests);
	}

	#logRequests(message: string, requests: readonly OpenRequest[]): void {
		const {clock, log, getRunningCount} = this.#options;
		const nowMs = clock.monotonicMs();
		log.writeState(message, {
			openCalls: getRunningCount(),
			unanswered: requests.length,
			requests: requests
				.slice(0, maxLoggedRequests)
				.map((request) => describeRequest(request, nowMs)),
		});
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}
}

/** Describes an open request for the log; what isn't known is left out. */
function describeRequest(
	{requestId, receivedAtMs, phase, lastCopy, expectedMs}: OpenRequest,
	nowMs: number,
): EventFields {
	const writtenAtMs = lastCopy?.writtenAtMs;
	return {
		requestId,
		phase,
		ageMs: Math.round(nowMs - receivedAtMs),
		waitedMs: Math.round((writtenAtMs ?? nowMs) - receivedAtMs),
		sentTo: lastCopy?.to,
		sentAgoMs:
			writtenAtMs === undefined ? undefined : Math.round(nowMs - writtenAtMs),
		expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
	};
}

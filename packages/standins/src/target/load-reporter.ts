/** Reports a target's load in response headers and at an endpoint, optionally with wrong values. */

import type {ServerResponse} from 'node:http';
import {targetHeaders, type Clock} from '@bilberryscale/core';
import {LoadHistory} from './load-history.js';
import {defaultBehaviour, type LoadReporting} from './target-behaviour.js';

/** How a target reports its load. */
export type LoadReporterOptions = {
	readonly loadReporting: LoadReporting;
	readonly loadLagMs: number;
};

/** The path of the load endpoint. */
export const loadPath = '/-/load';

/** The load reports of one target. */
export class LoadReporter {
	/** The number of requests to the load endpoint. */
	endpointCallCount = 0;
	readonly #history: LoadHistory;
	#options: LoadReporterOptions = defaultBehaviour;
	#frozenInFlight = 0;

	/**
	 * @param clock - Timestamps the load.
	 */
	constructor(clock: Clock) {
		this.#history = new LoadHistory(clock);
	}

	/**
	 * Changes how the load is reported. Frozen reports keep the load at this time.
	 *
	 * @param options - The kind of report and its lag.
	 */
	configure(options: LoadReporterOptions): void {
		this.#options = options;
		this.#frozenInFlight = this.#history.get(0);
	}

	/**
	 * Records a change of the load.
	 *
	 * @param inFlight - The number of running and queued requests.
	 */
	recordInFlight(inFlight: number): void {
		this.#history.add(inFlight);
	}

	/**
	 * Gets the load headers of a response.
	 *
	 * @param inFlight - The number of running and queued requests.
	 * @param bootId - Identifies the incarnation of the target.
	 * @returns The headers; empty if the target reports no load.
	 */
	getReportHeaders(inFlight: number, bootId: string): Record<string, string> {
		return this.#options.loadReporting === 'none'
			? {}
			: {
					[targetHeaders.load]: String(this.#getReportedLoad(inFlight)),
					[targetHeaders.bootId]: bootId,
				};
	}

	/**
	 * Responds to a request to the load endpoint with the load `loadLagMs` ago.
	 *
	 * @param response - The response to write.
	 * @param bootId - Identifies the incarnation of the target.
	 */
	sendReport(response: ServerResponse, bootId: string): void {
		this.endpointCallCount++;
		const inFlight = this.#history.get(this.#options.loadLagMs);
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(
			JSON.stringify({inFlight: this.#getReportedLoad(inFlight), bootId}),
		);
	}

	#getReportedLoad(inFlight: number): number {
		const {loadReporting} = this.#options;
		if (loadReporting === 'frozen') {
			return this.#frozenInFlight;
		}

		return loadReporting === 'zero' ? 0 : inFlight;
	}
}

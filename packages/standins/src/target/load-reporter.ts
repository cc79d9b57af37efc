/** What a target says of its load, truly or not. */

import type {ServerResponse} from 'node:http';
import {targetHeaders, type Clock} from '@bilberryscale/core';
import {defaultBehaviour, type LoadReporting} from './target-behaviour.js';
import {LoadHistory} from './load-history.js';

/** How a target reports. */
export type LoadReporterOptions = {
	readonly loadReporting: LoadReporting;
	readonly loadLagMs: number;
};

/** The path of the endpoint that tells the load. */
export const loadPath = '/-/load';

/** Answers with the load and tells it when asked. */
export class LoadReporter {
	/** Counts the calls to the endpoint. */
	endpointCallCount = 0;
	readonly #history: LoadHistory;
	#options: LoadReporterOptions = defaultBehaviour;
	#frozenInFlight = 0;

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#history = new LoadHistory(clock);
	}

	/**
	 * Changes how the target reports.
	 *
	 * @param behaviour - How.
	 */
	configure(behaviour: LoadReporterOptions): void {
		this.#options = behaviour;
		this.#frozenInFlight = this.#history.get(0);
	}

	/**
	 * Takes in a change of the load.
	 *
	 * @param inFlight - How many requests run or wait.
	 */
	recordInFlight(inFlight: number): void {
		this.#history.add(inFlight);
	}

	/**
	 * Gets the headers that every answer carries.
	 *
	 * @param inFlight - How many requests run or wait.
	 * @param bootId - Names the life of the target.
	 * @returns The headers.
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
	 * Answers a call to the endpoint, with the load as it was.
	 *
	 * @param response - The answer.
	 * @param bootId - Names the life of the target.
	 */
	sendReport(response: ServerResponse, bootId: string): void {
		this.endpointCallCount++;
		const inFlight = this.#history.get(this.#options.loadLagMs);
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({inFlight: this.#getReportedLoad(inFlight), bootId}));
	}

	#getReportedLoad(inFlight: number): number {
		const {loadReporting} = this.#options;
		if (loadReporting === 'frozen') {
			return this.#frozenInFlight;
		}

		return loadReporting === 'zero' ? 0 : inFlight;
	}
}

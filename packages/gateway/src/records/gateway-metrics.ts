/** Counters and histograms of the gateway, as text for a scraper. */

import {Counter, Histogram, Registry} from 'prom-client';

/** Upper bounds of latencies, in seconds. */
const latencyBounds = [
	0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10,
];
const msPerSecond = 1000;

/** Counts what the gateway does. */
export class GatewayMetrics {
	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'bilberryscale_requests_total',
		help: 'Requests by route and outcome',
		labelNames: ['route', 'outcome'],
		registers: [this.#registry],
	});

	readonly #requestSeconds = new Histogram({
		name: 'bilberryscale_request_seconds',
		help: 'Time from the request to its answer',
		labelNames: ['route'],
		buckets: latencyBounds,
		registers: [this.#registry],
	});

	readonly #sends = new Counter({
		name: 'bilberryscale_sends_total',
		help: 'Sends to targets by outcome',
		labelNames: ['outcome'],
		registers: [this.#registry],
	});

	readonly #sendSeconds = new Histogram({
		name: 'bilberryscale_send_seconds',
		help: 'Time from a send to its end',
		buckets: latencyBounds,
		registers: [this.#registry],
	});

	readonly #reads = new Counter({
		name: 'bilberryscale_platform_reads_total',
		help: 'Reads of published knowledge by source and outcome',
		labelNames: ['source', 'outcome'],
		registers: [this.#registry],
	});

	/** Gets the type of the text. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	/**
	 * Adds a request.
	 *
	 * @param route - Its route.
	 * @param outcome - How it ended.
	 * @param durationMs - How long it took; undefined if it had no route.
	 */
	addRequest(
		route: string,
		outcome: string,
		durationMs: number | undefined,
	): void {
		this.#requests.inc({route, outcome});
		if (durationMs !== undefined) {
			this.#requestSeconds.observe({route}, durationMs / msPerSecond);
		}
	}

	/**
	 * Adds a send.
	 *
	 * @param outcome - How it ended.
	 * @param durationMs - How long it took.
	 */
	addSend(outcome: string, durationMs: number): void {
		this.#sends.inc({outcome});
		this.#sendSeconds.observe(durationMs / msPerSecond);
	}

	/**
	 * Adds a read of published knowledge.
	 *
	 * @param source - What was read.
	 * @param outcome - How it ended.
	 */
	addRead(source: string, outcome: string): void {
		this.#reads.inc({source, outcome});
	}

	/**
	 * Gets all figures.
	 *
	 * @returns The text.
	 */
	async getText(): Promise<string> {
		return this.#registry.metrics();
	}
}

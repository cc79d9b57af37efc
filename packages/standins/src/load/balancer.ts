/** Spreads calls at random over ready entry hosts, in place of the platform's balancer. */

import {performance} from 'node:perf_hooks';
import {makeSeededRandom, type RandomSource} from '@bilberryscale/core';
import {request, type Agent} from 'undici';
import type {BalancedEntry} from './load-plan.js';

/** The entry hosts of a balancer, its HTTP client and the seed of its choices. */
export type BalancerOptions = {
	readonly entries: readonly BalancedEntry[];
	readonly agent: Agent;
	readonly seed: number;
};

type Readiness = {
	/** When the poll was sent, on the monotonic clock. */
	readonly polledAtMs: number;
	readonly isReady: boolean;
};

const pollMs = 250;
const pollTimeoutMs = 1000;

/** Polls the readiness of entry hosts and picks among the ready ones. */
export class Balancer {
	readonly #options: BalancerOptions;
	readonly #random: RandomSource;
	readonly #readiness = new Map<BalancedEntry, Readiness>();
	#readyEntries: readonly BalancedEntry[] = [];
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param options - The entry hosts, the HTTP client and the seed.
	 */
	constructor(options: BalancerOptions) {
		this.#options = options;
		this.#random = makeSeededRandom(options.seed);
	}

	/** Polls all entry hosts once, then keeps polling them in the background. */
	async start(): Promise<void> {
		await this.#poll();
		this.#timer = setInterval(() => {
			void this.#poll();
		}, pollMs);
	}

	/** Stops polling. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** The number of entry hosts that were ready at their last poll. */
	get readyCount(): number {
		return this.#readyEntries.length;
	}

	/**
	 * Picks a random entry host among those that were ready at their last poll.
	 *
	 * @returns The entry host, or any entry host if none was ready.
	 */
	pickEntry(): BalancedEntry {
		const candidates =
			this.#readyEntries.length > 0
				? this.#readyEntries
				: this.#options.entries;
		return candidates[Math.floor(this.#random() * candidates.length)]!;
	}

	/**
	 * Polls every entry host. A response takes effect as soon as it arrives, unless
	 * the response to a later poll of the same host arrived before it.
	 */
	async #poll(): Promise<void> {
		const polledAtMs = performance.now();
		await Promise.all(
			this.#options.entries.map(async (entry) => {
				const isReady = await this.#isReady(entry);
				const latest = this.#readiness.get(entry);
				if (latest === undefined || latest.polledAtMs <= polledAtMs) {
					this.#readiness.set(entry, {polledAtMs, isReady});
				}

				this.#readyEntries = this.#options.entries.filter(
					(candidate) => this.#readiness.get(candidate)?.isReady,
				);
			}),
		);
	}

	async #isReady(entry: BalancedEntry): Promise<boolean> {
		try {
			const response = await request(entry.readyUrl, {
				dispatcher: this.#options.agent,
				signal: AbortSignal.timeout(pollTimeoutMs),
			});
			await response.body.dump();
			return response.statusCode === 200;
		} catch {
			return false;
		}
	}
}

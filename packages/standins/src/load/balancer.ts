/** Stands in for the platform's balancer: spreads calls over ready hosts. */

import {performance} from 'node:perf_hooks';
import {makeSeededRandom, type RandomSource} from '@bilberryscale/core';
import {request, type Agent} from 'undici';
import type {BalancedEntry} from './load-plan.js';

/** What a balancer works with. */
export type BalancerOptions = {
	readonly entries: readonly BalancedEntry[];
	readonly agent: Agent;
	readonly seed: number;
};

type Readiness = {
	/** When the question was sent, on the monotonic clock. */
	readonly polledAtMs: number;
	readonly isReady: boolean;
};

const pollMs = 250;
const pollTimeoutMs = 1000;

/** Knows which hosts were ready a moment ago. */
export class Balancer {
	readonly #options: BalancerOptions;
	readonly #random: RandomSource;
	readonly #readiness = new Map<BalancedEntry, Readiness>();
	#readyEntries: readonly BalancedEntry[] = [];
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param options - The hosts and how to reach them.
	 */
	constructor(options: BalancerOptions) {
		this.#options = options;
		this.#random = makeSeededRandom(options.seed);
	}

	/** Asks all hosts and goes on asking. */
	async start(): Promise<void> {
		await this.#poll();
		this.#timer = setInterval(() => {
			void this.#poll();
		}, pollMs);
	}

	/** Stops asking. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Gets how many hosts were ready. */
	get readyCount(): number {
		return this.#readyEntries.length;
	}

	/**
	 * Draws a host that was ready a moment ago.
	 *
	 * @returns The host; any host if none was ready.
	 */
	pickEntry(): BalancedEntry {
		const candidates =
			this.#readyEntries.length > 0
				? this.#readyEntries
				: this.#options.entries;
		return candidates[Math.floor(this.#random() * candidates.length)]!;
	}

	/** Asks every host; each answer counts as it comes, but none that an answer to a later question overtook. */
	async #poll(): Promise<void> {
		const askedAtMs = performance.now();
		await Promise.all(
			this.#options.entries.map(async (entry) => {
				const isReady = await this.#isReady(entry);
				const latest = this.#readiness.get(entry);
				if (latest === undefined || latest.polledAtMs <= askedAtMs) {
					this.#readiness.set(entry, {polledAtMs: askedAtMs, isReady});
				}

				this.#readyEntries = this.#options.entries.filter(
					(each) => this.#readiness.get(each)?.isReady,
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

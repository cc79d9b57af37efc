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

type EntryState = {
	/** When the question was sent, on the monotonic clock. */
	readonly askedAtMs: number;
	readonly isReady: boolean;
};

const pollMs = 250;
const pollTimeoutMs = 1000;

/** Knows which hosts were ready a moment ago. */
export class Balancer {
	readonly #options: BalancerOptions;
	readonly #random: RandomSource;
	readonly #states = new Map<BalancedEntry, EntryState>();
	#ready: readonly BalancedEntry[] = [];
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
		return this.#ready.length;
	}

	/**
	 * Draws a host that was ready a moment ago.
	 *
	 * @returns The host; any host if none was ready.
	 */
	drawEntry(): BalancedEntry {
		const choices =
			this.#ready.length > 0 ? this.#ready : this.#options.entries;
		return choices[Math.floor(this.#random() * choices.length)]!;
	}

	/** Asks every host; each answer counts as it comes, but none that an answer to a later question overtook. */
	async #poll(): Promise<void> {
		const askedAtMs = performance.now();
		await Promise.all(
			this.#options.entries.map(async (entry) => {
				const isReady = await this.#isReady(entry);
				const known = this.#states.get(entry);
				if (known === undefined || known.askedAtMs <= askedAtMs) {
					this.#states.set(entry, {askedAtMs, isReady});
				}

				this.#ready = this.#options.entries.filter(
					(each) => this.#states.get(each)?.isReady,
				);
			}),
		);
	}

	async #isReady(entry: BalancedEntry): Promise<boolean> {
		try {
			const answer = await request(entry.readyUrl, {
				dispatcher: this.#options.agent,
				signal: AbortSignal.timeout(pollTimeoutMs),
			});
			await answer.body.dump();
			return answer.statusCode === 200;
		} catch {
			return false;
		}
	}
}

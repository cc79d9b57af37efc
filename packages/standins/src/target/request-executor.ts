/** What a target does with a request: a slot, its service time, stalls. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {StallPattern} from './target-behaviour.js';
import {drawServiceTimeMs} from './draw-service-time.js';
import {SlotQueue, type SlotOutcome} from './slot-queue.js';
import {StallGenerator} from './stall-generator.js';
import type {TargetStandinOptions} from './target-standin-options.js';
import {WarmupModel} from './warmup-model.js';

/** The slots of one target and how long runs take in them. */
export class RequestExecutor {
	/** Service times are multiplied by this. */
	slowdownFactor = 1;
	readonly #options: TargetStandinOptions;
	readonly #slots: SlotQueue;
	readonly #warmup: WarmupModel;
	readonly #stallGenerator: StallGenerator;
	#maxRunning = 0;

	/**
	 * @param options - How the target is made.
	 */
	constructor(options: TargetStandinOptions) {
		this.#options = options;
		this.#slots = new SlotQueue(options.slots, options.queueLength);
		this.#warmup = new WarmupModel(options);
		this.#stallGenerator = new StallGenerator(options.clock, options.random);
	}

	/** Gets how many requests run or wait now. */
	get inFlight(): number {
		return this.#slots.inFlight;
	}

	/** Gets the most requests that ran at once. */
	get maxRunning(): number {
		return this.#maxRunning;
	}

	/** Tells whether the target is not yet warm. */
	get isCold(): boolean {
		return this.#warmup.isCold;
	}

	/** Turns the target cold. */
	turnCold(): void {
		this.#warmup.turnCold();
	}

	/**
	 * Sets the stalls.
	 *
	 * @param pattern - The pattern; null for none.
	 */
	setStallPattern(pattern: StallPattern | null): void {
		this.#stallGenerator.setPattern(pattern ?? undefined);
	}

	/**
	 * Waits for a slot.
	 *
	 * @param signal - Ends the wait when the caller goes.
	 * @returns Whether the slot was taken.
	 */
	async acquireSlot(signal: AbortSignal): Promise<SlotOutcome> {
		return this.#slots.acquire(signal);
	}

	/** Gives a slot back. */
	releaseSlot(): void {
		this.#slots.release();
	}

	/** Runs a request in a slot that was taken, for as long as it takes. */
	async run(): Promise<void> {
		const {running} = this.#slots;
		this.#maxRunning = Math.max(this.#maxRunning, running);
		await sleep(this.#drawServiceTimeMs(running));
		for (
			let remainingMs = this.#stallGenerator.getRemainingMs();
			remainingMs > 0;
			remainingMs = this.#stallGenerator.getRemainingMs()
		) {
			await sleep(remainingMs);
		}

		this.#warmup.recordRunEnd(running);
	}

	#drawServiceTimeMs(running: number): number {
		const {serviceTimeMs, spread, random} = this.#options;
		return (
			drawServiceTimeMs(serviceTimeMs, spread, random) *
			this.slowdownFactor *
			this.#warmup.getSlowdownFactor(running)
		);
	}
}

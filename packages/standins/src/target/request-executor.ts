/** Simulates running requests: slots, service times and stalls. */

import {setTimeout as sleep} from 'node:timers/promises';
import {drawServiceTimeMs} from './draw-service-time.js';
import type {SimulatedTargetOptions} from './simulated-target-options.js';
import {SlotQueue, type SlotOutcome} from './slot-queue.js';
import {StallGenerator} from './stall-generator.js';
import type {StallPattern} from './target-behaviour.js';
import {WarmupModel} from './warmup-model.js';

/** The slots of one target and the duration of its runs. */
export class RequestExecutor {
	/** The factor on service times. */
	slowdownFactor = 1;
	readonly #options: SimulatedTargetOptions;
	readonly #slots: SlotQueue;
	readonly #warmup: WarmupModel;
	readonly #stallGenerator: StallGenerator;
	#maxRunning = 0;

	/**
	 * @param options - The options of the target.
	 */
	constructor(options: SimulatedTargetOptions) {
		this.#options = options;
		this.#slots = new SlotQueue(options.slots, options.queueLength);
		this.#warmup = new WarmupModel(options);
		this.#stallGenerator = new StallGenerator(options.clock, options.random);
	}

	/** Gets the number of running and queued requests. */
	get inFlight(): number {
		return this.#slots.inFlight;
	}

	/** Gets the maximum number of requests that ran concurrently. */
	get maxRunning(): number {
		return this.#maxRunning;
	}

	/** Checks whether the target is still warming up. */
	get isCold(): boolean {
		return this.#warmup.isCold;
	}

	/** Resets the warm-up. */
	turnCold(): void {
		this.#warmup.turnCold();
	}

	/**
	 * Replaces the stall pattern.
	 *
	 * @param pattern - The pattern; null for no stalls.
	 */
	setStallPattern(pattern: StallPattern | null): void {
		this.#stallGenerator.setPattern(pattern ?? undefined);
	}

	/**
	 * Acquires a slot, waiting in the queue if all are in use.
	 *
	 * @param signal - Cancels the wait when the caller disconnects.
	 * @returns Whether the slot was acquired, the queue was full or the wait was cancelled.
	 */
	async acquireSlot(signal: AbortSignal): Promise<SlotOutcome> {
		return this.#slots.acquire(signal);
	}

	/** Releases a slot. */
	releaseSlot(): void {
		this.#slots.release();
	}

	/** Waits for the service time of a request in an acquired slot, and for stalls at its end. */
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

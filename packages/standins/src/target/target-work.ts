/** What a target does with a request: a slot, its service time, stalls. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {StallPattern} from './behaviour.js';
import {drawServiceTimeMs} from './service-time.js';
import {SlotQueue, type SlotOutcome} from './slot-queue.js';
import {Stalls} from './stalls.js';
import type {TargetStandinOptions} from './target-standin-options.js';
import {Warmth} from './warmth.js';

/** The slots of one target and how long runs take in them. */
export class TargetWork {
	/** Service times are multiplied by this. */
	slowdown = 1;
	readonly #options: TargetStandinOptions;
	readonly #slots: SlotQueue;
	readonly #warmth: Warmth;
	readonly #stalls: Stalls;
	#mostRunning = 0;

	/**
	 * @param options - How the target is made.
	 */
	constructor(options: TargetStandinOptions) {
		this.#options = options;
		this.#slots = new SlotQueue(options.slots, options.queueLength);
		this.#warmth = new Warmth(options);
		this.#stalls = new Stalls(options.clock, options.random);
	}

	/** Gets how many requests run or wait now. */
	get inFlight(): number {
		return this.#slots.inFlight;
	}

	/** Gets the most requests that ran at once. */
	get mostRunning(): number {
		return this.#mostRunning;
	}

	/** Tells whether the target is not yet warm. */
	get isCold(): boolean {
		return this.#warmth.isCold;
	}

	/** Turns the target cold. */
	turnCold(): void {
		this.#warmth.turnCold();
	}

	/**
	 * Sets the stalls.
	 *
	 * @param pattern - The pattern; null for none.
	 */
	setStalls(pattern: StallPattern | null): void {
		this.#stalls.setPattern(pattern ?? undefined);
	}

	/**
	 * Waits for a slot.
	 *
	 * @param signal - Ends the wait when the caller goes.
	 * @returns Whether the slot was taken.
	 */
	async takeSlot(signal: AbortSignal): Promise<SlotOutcome> {
		return this.#slots.take(signal);
	}

	/** Gives a slot back. */
	freeSlot(): void {
		this.#slots.free();
	}

	/** Runs a request in a slot that was taken, for as long as it takes. */
	async run(): Promise<void> {
		const {running} = this.#slots;
		this.#mostRunning = Math.max(this.#mostRunning, running);
		await sleep(this.#drawRunMs(running));
		for (
			let remainingMs = this.#stalls.getRemainingMs();
			remainingMs > 0;
			remainingMs = this.#stalls.getRemainingMs()
		) {
			await sleep(remainingMs);
		}

		this.#warmth.noteEnd(running);
	}

	#drawRunMs(running: number): number {
		const {serviceTimeMs, spread, random} = this.#options;
		return (
			drawServiceTimeMs(serviceTimeMs, spread, random) *
			this.slowdown *
			this.#warmth.getSlowdown(running)
		);
	}
}

/** Gives refused callers of a service times to return, at the rate at which its requests complete. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import {DecayingRate} from './decaying-rate.js';

/** A refused caller. */
export type RefusedCaller = {
	/** The effective priority of its request; 0 is the highest. */
	readonly rank: number;
	/** The time until its own deadline, in milliseconds. */
	readonly remainingMs: number;
	/** The typical service time of such requests, in milliseconds. */
	readonly serviceTimeMs: number;
};

/** When a refused caller should return. */
export type ReturnTime =
	/**
	 * `slot`: capacity is expected to be free then. `latest`: all slots are promised, but some callers
	 * do not return. `unmeasured`: too few requests have completed to tell, so the time is random.
	 */
	| {readonly kind: 'slot' | 'latest' | 'unmeasured'; readonly delayMs: number}
	/** It cannot be served before its deadline. */
	| {readonly kind: 'none'};

/** The clock and the source of the offset by which hosts differ. */
export type ReturnScheduleOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** A series of times, one for each request that completes. */
type Grid = {
	/** The time of slot 0, on the monotonic clock, in milliseconds. */
	readonly anchorMs: number;
	/** The time between two slots, in milliseconds. */
	readonly intervalMs: number;
};

/** Callers honour up to a third of their remaining time; the rest allows for rounding and the network. */
const maxRemainingShare = 0.3;
/** Maximum delay, in milliseconds; the rate of completions has changed by the time of a later slot. */
const maxDelayMs = 2000;
/** Minimum delay, in milliseconds: the resolution of the response header. */
const minDelayMs = 10;
/** Completions below which the rate is not considered measured, by their decayed weight. */
const minMeasuredWeight = 0.5;
/** Relative change of the rate from which the slots are laid out again. */
const maxRateDeviation = 0.2;
/** Every slot whose number is a multiple of this may be promised twice, as some callers do not return. */
const overbookedSlotInterval = 10;
/** The fractional part of the golden ratio; its multiples modulo 1 are spread evenly over the unit interval. */
const goldenRatioFraction = 0.618_033_988_749_895;
const msPerSecond = 1000;

/**
 * The return times of one service at one host. Each slot is promised once, and
 * a slot stands for one request that completes, so the returns of all hosts
 * together follow the rate at which the service completes requests. Slots are
 * withheld from a rank in proportion to the demand of more urgent ones.
 */
export class ReturnSchedule {
	readonly #options: ReturnScheduleOptions;
	readonly #departures: DecayingRate;
	readonly #arrivals = new Map<number, DecayingRate>();
	readonly #startedAtMs: number;
	#grid: Grid | undefined;
	#bookedSlots = new Set<number>();
	#overbookedSlots = new Set<number>();

	/**
	 * @param options - The clock and the random source.
	 */
	constructor(options: ReturnScheduleOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#departures = new DecayingRate(this.#startedAtMs);
	}

	/** Gets how many requests of this host complete per second. */
	get departuresPerSecond(): number {
		return this.#departures.getPerSecond(this.#options.clock.monotonicMs());
	}

	/**
	 * Counts a request that has arrived for the first time.
	 *
	 * @param rank - Its effective priority; 0 is the highest.
	 */
	addArrival(rank: number): void {
		const rate =
			this.#arrivals.get(rank) ?? new DecayingRate(this.#startedAtMs);
		this.#arrivals.set(rank, rate);
		rate.add(this.#options.clock.monotonicMs());
	}

	/** Counts a request that has completed and thereby freed a slot of a target. */
	addDeparture(): void {
		this.#departures.add(this.#options.clock.monotonicMs());
	}

	/**
	 * Promises a time to a refused caller.
	 *
	 * @param caller - The caller.
	 * @returns The time to return, within the share of its remaining time that callers honour.
	 */
	book({rank, remainingMs, serviceTimeMs}: RefusedCaller): ReturnTime {
		const {clock, random} = this.#options;
		const nowMs = clock.monotonicMs();
		const latestMs = Math.min(
			remainingMs * maxRemainingShare,
			remainingMs - serviceTimeMs,
			maxDelayMs,
		);
		if (latestMs < minDelayMs) {
			return {kind: 'none'};
		}

		if (this.#departures.getWeight(nowMs) < minMeasuredWeight) {
			const delayMs = minDelayMs + random() * (latestMs - minDelayMs);
			return {kind: 'unmeasured', delayMs};
		}

		const grid = this.#updateGrid(nowMs);
		const first = getNextSlot(grid, nowMs + minDelayMs);
		const last = getNextSlot(grid, nowMs + latestMs) - 1;
		this.#dropPast(first);
		const withheldShare = this.#getWithheldShare(rank, nowMs);
		const isOpen = (slot: number) => getSlotLevel(slot) >= withheldShare;
		for (let slot = first; slot <= last; slot++) {
			if (isOpen(slot) && !this.#bookedSlots.has(slot)) {
				this.#bookedSlots.add(slot);
				return {kind: 'slot', delayMs: getSlotMs(grid, slot) - nowMs};
			}
		}

		for (let slot = last; slot >= first; slot--) {
			const canOverbook =
				slot % overbookedSlotInterval === 0 && !this.#overbookedSlots.has(slot);
			if (isOpen(slot) && canOverbook) {
				this.#overbookedSlots.add(slot);
				return {kind: 'latest', delayMs: getSlotMs(grid, slot) - nowMs};
			}
		}

		return {kind: 'none'};
	}

	/**
	 * Gets the share of slots that a rank does not get. A burst doubles the
	 * demand of a class, so twice the share of more urgent requests is withheld, but at most
	 * half of what these leave.
	 */
	#getWithheldShare(rank: number, nowMs: number): number {
		let urgentPerSecond = 0;
		for (const [otherRank, rate] of this.#arrivals) {
			urgentPerSecond += otherRank < rank ? rate.getPerSecond(nowMs) : 0;
		}

		const urgentShare = Math.min(
			1,
			urgentPerSecond / this.#departures.getPerSecond(nowMs),
		);
		return urgentShare + Math.min(urgentShare, (1 - urgentShare) / 2);
	}

	/**
	 * Lays the slots out again if the rate has changed; promised times to come keep
	 * their number of slots. Past ones must not be moved: with fewer slots for the
	 * same time, they would take up slots to come.
	 */
	#updateGrid(nowMs: number): Grid {
		const intervalMs = msPerSecond / this.#departures.getPerSecond(nowMs);
		const previous = this.#grid;
		const ratio =
			(previous?.intervalMs ?? Number.POSITIVE_INFINITY) / intervalMs;
		if (previous !== undefined && Math.abs(ratio - 1) <= maxRateDeviation) {
			return previous;
		}

		const anchorMs = nowMs + this.#options.random() * intervalMs;
		const grid = {anchorMs, intervalMs};
		const promised = [...this.#bookedSlots, ...this.#overbookedSlots];
		this.#grid = grid;
		this.#bookedSlots = new Set();
		this.#overbookedSlots = new Set();
		if (previous !== undefined) {
			const promisedMs = promised
				.map((slot) => getSlotMs(previous, slot))
				.filter((atMs) => atMs >= nowMs)
				.toSorted((a, b) => a - b);
			for (const atMs of promisedMs) {
				this.#moveToGrid(grid, atMs);
			}
		}

		return grid;
	}

	#moveToGrid(grid: Grid, atMs: number): void {
		let slot = getNextSlot(grid, atMs);
		while (this.#bookedSlots.has(slot)) {
			slot++;
		}

		this.#bookedSlots.add(slot);
	}

	#dropPast(first: number): void {
		for (const slots of [this.#bookedSlots, this.#overbookedSlots]) {
			for (const slot of slots) {
				if (slot < first) {
					slots.delete(slot);
				}
			}
		}
	}
}

/** Gets the number of the first slot at or after a time. */
function getNextSlot({anchorMs, intervalMs}: Grid, atMs: number): number {
	return Math.ceil((atMs - anchorMs) / intervalMs);
}

function getSlotMs({anchorMs, intervalMs}: Grid, slot: number): number {
	return anchorMs + slot * intervalMs;
}

/** Gets a number from 0 to 1 by which slots are withheld, evenly spread over successive slots. */
function getSlotLevel(slot: number): number {
	const level = (slot * goldenRatioFraction) % 1;
	return level < 0 ? level + 1 : level;
}

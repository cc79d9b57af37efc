/**
 * Learns for each service what targets do with requests that find no free slot:
 * they queue them, refuse them (503, not run) or hang, that is, never respond to
 * them. Addresses demand beyond the slots of targets that hang, where each
 * request too many is lost until its deadline.
 */

import type {Clock, ServiceName} from '@bilberryscale/core';
import type {AttemptResult} from '../relay/attempt-result.js';

/** What is known of the full targets of a service. */
export type FullTargetLimit = {
	/** How many requests beyond its slots a target may hold; infinite unless full targets hang. */
	readonly maxQueued: number;
	/** The recent weight of requests that full targets have answered, refused and left without a response. */
	readonly answered: number;
	readonly refused: number;
	readonly hung: number;
};

type Tally = {answered: number; hung: number};

type ServiceTallies = {
	/** By the place in the queue that a request took, from 1. */
	readonly byPlace: Map<number, Tally>;
	refused: number;
	decayedAtMs: number;
	wasHanging: boolean;
};

/** Time constant with which outcomes lose their weight, in milliseconds. */
const decayMs = 60_000;
/** Requests without a response after which full targets count as hanging; single ones are lost in other ways too. */
const minHung = 1.5;
/** Least share of the queued requests that hung; 3 in 100 requests take so long that they look like it. */
const minHungShare = 0.3;
/** A place in the queue is used if it has answered this many times as many requests as hung there. */
const minAnsweredRatio = 2;
/** Outcomes that have decayed below this weight no longer count as seen. */
const minSeenWeight = 0.2;
/** Places whose outcomes have decayed below this weight are dropped; targets may report queues of any length. */
const minKeptWeight = 0.01;

/** Counts the outcomes of requests that were sent to full targets. */
export class FullTargetBehaviour {
	readonly #clock: Clock;
	readonly #onChange: (service: ServiceName, limit: FullTargetLimit) => void;
	readonly #tallies = new Map<ServiceName, ServiceTallies>();

	/**
	 * @param clock - The clock.
	 * @param onChange - Told when full targets of a service turn out to hang, and when they no longer do.
	 */
	constructor(
		clock: Clock,
		onChange: (service: ServiceName, limit: FullTargetLimit) => void = () =>
			undefined,
	) {
		this.#clock = clock;
		this.#onChange = onChange;
	}

	/**
	 * Adds the outcome of a request.
	 *
	 * @param service - The service.
	 * @param place - The number of requests at the target, with this one, less its slots: from 1 if it was full.
	 * @param result - The result.
	 */
	add(service: ServiceName, place: number, result: AttemptResult): void {
		const isHung =
			result.kind === 'failed' &&
			(result.cause === 'stalled' || result.cause === 'overdue');
		if (place < 1 || (result.kind === 'failed' && !isHung)) {
			return;
		}

		const tallies = this.#getTallies(service);
		this.#decay(tallies);
		if (result.kind === 'refused') {
			tallies.refused++;
		} else {
			const tally = tallies.byPlace.get(place) ?? {answered: 0, hung: 0};
			tallies.byPlace.set(place, tally);
			tally[isHung ? 'hung' : 'answered']++;
		}

		this.#reportChange(service, tallies);
	}

	/**
	 * Gets how many requests a target may hold.
	 *
	 * @param service - The service.
	 * @returns The limit beyond its slots, and what it follows from.
	 */
	get(service: ServiceName): FullTargetLimit {
		const tallies = this.#tallies.get(service);
		if (tallies === undefined) {
			return {
				maxQueued: Number.POSITIVE_INFINITY,
				answered: 0,
				refused: 0,
				hung: 0,
			};
		}

		this.#decay(tallies);
		const limit = getLimit(tallies);
		this.#reportChange(service, tallies);
		return limit;
	}

	#reportChange(service: ServiceName, tallies: ServiceTallies): void {
		const limit = getLimit(tallies);
		const isHanging = Number.isFinite(limit.maxQueued);
		if (isHanging !== tallies.wasHanging) {
			tallies.wasHanging = isHanging;
			this.#onChange(service, limit);
		}
	}

	#decay(tallies: ServiceTallies): void {
		const nowMs = this.#clock.monotonicMs();
		const retained = Math.exp((tallies.decayedAtMs - nowMs) / decayMs);
		tallies.decayedAtMs = nowMs;
		tallies.refused *= retained;
		for (const [place, tally] of tallies.byPlace) {
			tally.answered *= retained;
			tally.hung *= retained;
			if (tally.answered + tally.hung < minKeptWeight) {
				tallies.byPlace.delete(place);
			}
		}
	}

	#getTallies(service: ServiceName): ServiceTallies {
		const existing = this.#tallies.get(service);
		const tallies = existing ?? {
			byPlace: new Map<number, Tally>(),
			refused: 0,
			decayedAtMs: this.#clock.monotonicMs(),
			wasHanging: false,
		};
		this.#tallies.set(service, tallies);
		return tallies;
	}
}

function getLimit({byPlace, refused}: ServiceTallies): FullTargetLimit {
	let answered = 0;
	let hung = 0;
	for (const tally of byPlace.values()) {
		answered += tally.answered;
		hung += tally.hung;
	}

	const isHanging =
		hung >= minHung &&
		hung >= minHungShare * (answered + hung) &&
		hung > refused;
	const maxQueued = isHanging
		? countUsedPlaces(byPlace)
		: Number.POSITIVE_INFINITY;
	return {maxQueued, answered, refused, hung};
}

/** Counts the places of the queue, from the first one, whose requests are answered. */
function countUsedPlaces(byPlace: ReadonlyMap<number, Tally>): number {
	let count = 0;
	for (;;) {
		const {answered, hung} = byPlace.get(count + 1) ?? {answered: 0, hung: 0};
		if (answered < minSeenWeight || answered < minAnsweredRatio * hung) {
			return count;
		}

		count++;
	}
}

/** A bounded queue that shares what becomes free among classes by weight. */

import type {CallerClassShare} from '@bilberryscale/bundle';
import type {CallerClass} from '@bilberryscale/core';
import {BinaryHeap} from '../utils/binary-heap.js';
import type {Call} from './call.js';
import {ClassLane} from './class-lane.js';
import type {WaitingCall} from './waiting-call.js';

/** Start-time fair queueing over the classes of one service. */
export class FairQueue {
	readonly #lanes = new Map<CallerClass, ClassLane>();
	readonly #waiting = new Map<Call, WaitingCall>();
	readonly #expiries = new BinaryHeap<WaitingCall>(
		({expiresAtMs}) => expiresAtMs,
	);

	#virtualTime = 0;

	/**
	 * @param classes - The classes and their weights.
	 */
	constructor(classes: readonly CallerClassShare[]) {
		this.setClasses(classes);
	}

	/** Gets how many calls wait. */
	get size(): number {
		return this.#waiting.size;
	}

	/**
	 * Takes over the weights of a new bundle; calls that wait stay.
	 *
	 * @param classes - The classes and their weights.
	 */
	setClasses(classes: readonly CallerClassShare[]): void {
		for (const {name, weight} of classes) {
			this.#getLane(name).weight = weight;
		}
	}

	/**
	 * Adds a call.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param expiresAtMs - When its wait ends, in milliseconds.
	 */
	add(call: Call, nowMs: number, expiresAtMs: number): void {
		const waiting = {call, enqueuedAtMs: nowMs, expiresAtMs, isGone: false};
		const lane = this.#getLane(call.callerClass);
		if (lane.size === 0) {
			lane.startTag = Math.max(lane.startTag, this.#virtualTime);
		}

		lane.push(waiting);
		this.#waiting.set(call, waiting);
		this.#expiries.push(waiting);
	}

	/** Takes the call whose turn it is, if any waits. */
	shift(): Call | undefined {
		const lane = this.#getNextLane();
		const waiting = lane?.shift();
		if (lane === undefined || waiting === undefined) {
			return undefined;
		}

		this.#virtualTime = lane.startTag;
		lane.startTag += 1 / lane.weight;
		this.#waiting.delete(waiting.call);
		return waiting.call;
	}

	/**
	 * Takes a call whose wait has ended, if any.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	takeExpired(nowMs: number): Call | undefined {
		const first = this.#peekExpiry();
		if (first === undefined || first.expiresAtMs > nowMs) {
			return undefined;
		}

		this.remove(first.call);
		return first.call;
	}

	/**
	 * Makes room for a call of a class by taking the newest call of the class
	 * that has the most over its share.
	 *
	 * @param callerClass - The class that wants room.
	 * @returns The call that must go; undefined if the class itself has the most.
	 */
	evictFor(callerClass: CallerClass): Call | undefined {
		const own = this.#getLane(callerClass);
		let longest = own;
		let longestShare = (own.size + 1) / own.weight;
		for (const lane of this.#lanes.values()) {
			if (lane.size / lane.weight > longestShare) {
				longest = lane;
				longestShare = lane.size / lane.weight;
			}
		}

		const evicted = longest === own ? undefined : longest.pop();
		if (evicted !== undefined) {
			this.#waiting.delete(evicted.call);
		}

		return evicted?.call;
	}

	/**
	 * Counts the calls that would go before a new one of a class.
	 *
	 * @param callerClass - The class.
	 * @returns The number, the new call itself not counted.
	 */
	countAhead(callerClass: CallerClass): number {
		const own = this.#getLane(callerClass);
		let ahead = own.size;
		for (const lane of this.#lanes.values()) {
			if (lane !== own) {
				const turns = ((own.size + 1) * lane.weight) / own.weight;
				ahead += Math.min(lane.size, turns);
			}
		}

		return ahead;
	}

	/**
	 * Removes a call.
	 *
	 * @param call - The call.
	 * @returns Whether it waited.
	 */
	remove(call: Call): boolean {
		const waiting = this.#waiting.get(call);
		if (waiting === undefined) {
			return false;
		}

		this.#getLane(call.callerClass).remove(waiting);
		this.#waiting.delete(call);
		return true;
	}

	/** Gets when the next wait ends, in milliseconds; undefined if none waits. */
	getNextExpiryMs(): number | undefined {
		return this.#peekExpiry()?.expiresAtMs;
	}

	#peekExpiry(): WaitingCall | undefined {
		while (this.#expiries.peek()?.isGone) {
			this.#expiries.pop();
		}

		return this.#expiries.peek();
	}

	#getNextLane(): ClassLane | undefined {
		let next: ClassLane | undefined;
		for (const lane of this.#lanes.values()) {
			if (lane.size > 0 && (!next || lane.startTag < next.startTag)) {
				next = lane;
			}
		}

		return next;
	}

	#getLane(name: CallerClass): ClassLane {
		const lane = this.#lanes.get(name) ?? new ClassLane(1);
		this.#lanes.set(name, lane);
		return lane;
	}
}

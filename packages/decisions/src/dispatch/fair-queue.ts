/** Shares free target slots among caller classes by weight. */

import type {CallerClassShare} from '@bilberryscale/bundle';
import type {CallerClass} from '@bilberryscale/core';
import {BinaryHeap} from '../utils/binary-heap.js';
import type {Call} from './call.js';
import {ClassQueue} from './class-queue.js';
import {StartTags} from './start-tags.js';
import type {WaitingCall} from './waiting-call.js';

/**
 * Start-time fair queueing (SFQ) over the caller classes of one service.
 *
 * @remarks Each class has a virtual start time; the class with the earliest one
 * is served next, and serving it advances its start time by 1 / weight. A class
 * that was idle restarts at the current virtual time, so it gains no credit for
 * the turns it did not use.
 */
export class FairQueue {
	readonly #classQueues = new Map<CallerClass, ClassQueue>();
	readonly #waitingCalls = new Map<Call, WaitingCall>();
	readonly #callsByExpiry = new BinaryHeap<WaitingCall>(
		({expiresAtMs}) => expiresAtMs,
	);

	readonly #startTags = new StartTags<CallerClass>();

	/**
	 * @param classes - The caller classes and their weights.
	 */
	constructor(classes: readonly CallerClassShare[]) {
		this.setClasses(classes);
	}

	/** The number of waiting calls. */
	get size(): number {
		return this.#waitingCalls.size;
	}

	/**
	 * Applies the weights of a new bundle; waiting calls keep their places.
	 *
	 * @param classes - The caller classes and their weights.
	 */
	setClasses(classes: readonly CallerClassShare[]): void {
		for (const {name, weight} of classes) {
			this.#getClassQueue(name).weight = weight;
		}
	}

	/**
	 * Adds a call.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @param expiresAtMs - When it stops waiting, on the monotonic clock, in
	 * milliseconds.
	 */
	add(call: Call, nowMs: number, expiresAtMs: number): void {
		const waiting = {call, enqueuedAtMs: nowMs, expiresAtMs, isRemoved: false};
		const classQueue = this.#getClassQueue(call.callerClass);
		if (classQueue.size === 0) {
			this.#startTags.activate(call.callerClass);
		}

		classQueue.push(waiting);
		this.#waitingCalls.set(call, waiting);
		this.#callsByExpiry.push(waiting);
	}

	/** Removes and returns the call to serve next, if any. */
	shift(): Call | undefined {
		const classQueue = this.#getNextClassQueue();
		const waiting = classQueue?.shift();
		if (classQueue === undefined || waiting === undefined) {
			return undefined;
		}

		this.#startTags.charge(waiting.call.callerClass, classQueue.weight);
		this.#waitingCalls.delete(waiting.call);
		return waiting.call;
	}

	/**
	 * Removes and returns a call whose waiting time has expired, if any.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	takeExpired(nowMs: number): Call | undefined {
		const first = this.#peekNextExpiring();
		if (first === undefined || first.expiresAtMs > nowMs) {
			return undefined;
		}

		this.remove(first.call);
		return first.call;
	}

	/**
	 * Makes room for a call of a class: evicts the newest call of the class whose
	 * number of waiting calls is the largest relative to its weight.
	 *
	 * @param callerClass - The class of the new call.
	 * @returns The evicted call; undefined if the class of the new call itself has
	 * the largest number.
	 */
	evictFor(callerClass: CallerClass): Call | undefined {
		const ownQueue = this.#getClassQueue(callerClass);
		let victim = ownQueue;
		let victimRelativeSize = (ownQueue.size + 1) / ownQueue.weight;
		for (const classQueue of this.#classQueues.values()) {
			if (classQueue.size / classQueue.weight > victimRelativeSize) {
				victim = classQueue;
				victimRelativeSize = classQueue.size / classQueue.weight;
			}
		}

		const evicted = victim === ownQueue ? undefined : victim.pop();
		if (evicted !== undefined) {
			this.#waitingCalls.delete(evicted.call);
		}

		return evicted?.call;
	}

	/**
	 * Estimates how many calls would be served before a new call of a class.
	 *
	 * @param callerClass - The class of the new call.
	 * @returns The number of calls, without the new call; it may be fractional.
	 */
	countAhead(callerClass: CallerClass): number {
		const ownQueue = this.#getClassQueue(callerClass);
		let callsAhead = ownQueue.size;
		for (const classQueue of this.#classQueues.values()) {
			if (classQueue !== ownQueue) {
				const turns =
					((ownQueue.size + 1) * classQueue.weight) / ownQueue.weight;
				callsAhead += Math.min(classQueue.size, turns);
			}
		}

		return callsAhead;
	}

	/**
	 * Removes a call.
	 *
	 * @param call - The call.
	 * @returns Whether it was waiting.
	 */
	remove(call: Call): boolean {
		const waiting = this.#waitingCalls.get(call);
		if (waiting === undefined) {
			return false;
		}

		this.#getClassQueue(call.callerClass).remove(waiting);
		this.#waitingCalls.delete(call);
		return true;
	}

	/** Gets when the next call expires, in milliseconds, if any call waits. */
	getNextExpiryMs(): number | undefined {
		return this.#peekNextExpiring()?.expiresAtMs;
	}

	#peekNextExpiring(): WaitingCall | undefined {
		while (this.#callsByExpiry.peek()?.isRemoved) {
			this.#callsByExpiry.pop();
		}

		return this.#callsByExpiry.peek();
	}

	#getNextClassQueue(): ClassQueue | undefined {
		let next: ClassQueue | undefined;
		let nextTag = Number.POSITIVE_INFINITY;
		for (const [name, classQueue] of this.#classQueues) {
			const tag = this.#startTags.get(name);
			if (classQueue.size > 0 && tag < nextTag) {
				next = classQueue;
				nextTag = tag;
			}
		}

		return next;
	}

	#getClassQueue(name: CallerClass): ClassQueue {
		const classQueue = this.#classQueues.get(name) ?? new ClassQueue(1);
		this.#classQueues.set(name, classQueue);
		return classQueue;
	}
}

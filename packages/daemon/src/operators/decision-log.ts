/** Remembers the decisions about recent calls, bounded in memory. */

import type {RequestId, ServiceName} from '@bilberryscale/core';

/** One decision on the way of a call. */
export type Decision = {
	/** The time since the head of the request was read, in milliseconds. */
	readonly afterMs: number;
	readonly kind: 'send' | 'answer' | 'failure';
	/** The target, the status, or the error kind. */
	readonly subject: string;
};

/** What was decided about one call; it holds no content and no key of the caller. */
export type CallRecord = {
	readonly requestId: RequestId;
	/** When it ended, by the host's wall clock. */
	readonly endedAt: Date;
	/** How often it was sent to a target. */
	readonly sends: number;
	readonly service: ServiceName | undefined;
	readonly method: string;
	readonly isIdempotent: boolean | undefined;
	readonly hasKey: boolean;
	/** Whether it ended as most calls do: answered after one send. */
	readonly isOrdinary: boolean;
	readonly outcome: string;
	readonly durationMs: number;
	readonly decisions: readonly Decision[];
};

/** How many calls are remembered. */
export type DecisionLogCapacity = {
	readonly ordinary: number;
	readonly unusual: number;
};

const defaultCapacity: DecisionLogCapacity = {ordinary: 8192, unusual: 8192};

/**
 * The recent calls of this process.
 *
 * @remarks Refused, failed and repeated calls have room of their own, so that a flood of ordinary ones does not push them out.
 */
export class DecisionLog {
	readonly #ordinary: Ring;
	readonly #unusual: Ring;

	/**
	 * @param capacity - How many calls are remembered.
	 */
	constructor(capacity: DecisionLogCapacity = defaultCapacity) {
		this.#ordinary = new Ring(capacity.ordinary);
		this.#unusual = new Ring(capacity.unusual);
	}

	/**
	 * Remembers a call.
	 *
	 * @param record - What was decided.
	 */
	add(record: CallRecord): void {
		(record.isOrdinary ? this.#ordinary : this.#unusual).add(record);
	}

	/**
	 * Gets what was decided about the calls of one id; a caller may send an id more than once.
	 *
	 * @param requestId - The id.
	 * @returns The records that are still remembered.
	 */
	getRecords(requestId: string): readonly CallRecord[] {
		return [
			...this.#unusual.getById(requestId),
			...this.#ordinary.getById(requestId),
		].toSorted((a, b) => a.endedAt.getTime() - b.endedAt.getTime());
	}
}

class Ring {
	readonly #records: CallRecord[] = [];
	readonly #capacity: number;
	#next = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	add(record: CallRecord): void {
		this.#records[this.#next] = record;
		this.#next = (this.#next + 1) % this.#capacity;
	}

	getById(requestId: string): readonly CallRecord[] {
		return this.#records.filter((record) => record.requestId === requestId);
	}
}

/** Keeps a record of how recent requests were handled, with bounded memory use. */

import type {RequestId, ServiceName} from '@bilberryscale/core';

/** A step in the handling of a request. */
export type Decision = {
	/** Milliseconds since the request head was read. */
	readonly afterMs: number;
	readonly kind: 'send' | 'answer' | 'failure';
	/** The target, the status or the error kind, depending on the kind of the step. */
	readonly subject: string;
};

/** How one request was handled; it contains neither its content nor its idempotency key. */
export type CallRecord = {
	readonly requestId: RequestId;
	/** The end of the request by the host's wall clock. */
	readonly endedAt: Date;
	/** The number of attempts. */
	readonly sends: number;
	readonly service: ServiceName | undefined;
	readonly method: string;
	readonly isIdempotent: boolean | undefined;
	readonly hasKey: boolean;
	/** Whether it was answered after a single attempt, as most requests are. */
	readonly isOrdinary: boolean;
	readonly outcome: string;
	readonly durationMs: number;
	readonly decisions: readonly Decision[];
};

/** The number of records kept. */
export type DecisionLogCapacity = {
	readonly ordinary: number;
	readonly unusual: number;
};

const defaultCapacity: DecisionLogCapacity = {ordinary: 8192, unusual: 8192};

/**
 * The records of recent requests.
 *
 * @remarks Requests that failed, were refused or did not take exactly one attempt have a separate buffer, so that ordinary traffic does not evict them.
 */
export class DecisionLog {
	readonly #ordinary: RingBuffer;
	readonly #unusual: RingBuffer;

	/**
	 * @param capacity - The number of records kept of each kind.
	 */
	constructor(capacity: DecisionLogCapacity = defaultCapacity) {
		this.#ordinary = new RingBuffer(capacity.ordinary);
		this.#unusual = new RingBuffer(capacity.unusual);
	}

	/**
	 * Adds a record; it replaces the oldest of its kind if the buffer is full.
	 *
	 * @param record - The record of an ended request.
	 */
	add(record: CallRecord): void {
		(record.isOrdinary ? this.#ordinary : this.#unusual).add(record);
	}

	/**
	 * Finds the records of a request id; a caller may use the same id more than once.
	 *
	 * @param requestId - The request id.
	 * @returns The records still kept, by the time of their end.
	 */
	getRecords(requestId: string): readonly CallRecord[] {
		return [
			...this.#unusual.findByRequestId(requestId),
			...this.#ordinary.findByRequestId(requestId),
		].toSorted((a, b) => a.endedAt.getTime() - b.endedAt.getTime());
	}
}

class RingBuffer {
	readonly #records: CallRecord[] = [];
	readonly #capacity: number;
	#nextIndex = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	add(record: CallRecord): void {
		this.#records[this.#nextIndex] = record;
		this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
	}

	findByRequestId(requestId: string): readonly CallRecord[] {
		return this.#records.filter((record) => record.requestId === requestId);
	}
}

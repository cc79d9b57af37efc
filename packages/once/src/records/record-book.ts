/** The records of a home, bounded by time and by bytes. */

import type {IdempotencyKey} from '@bilberryscale/core';
import type {KeptAnswer, KeyRecord, RunEnd} from './key-record.js';

/** The bounds of a book. */
export type RecordBounds = {
	/** The size of all records, in bytes. */
	readonly totalBytes: number;
	/** The largest answer that is kept, in bytes. */
	readonly answerBytes: number;
};

/** The bounds of entry hosts. */
export const usualRecordBounds: RecordBounds = {
	totalBytes: 64 * 1024 * 1024,
	answerBytes: 64 * 1024,
};

const emptyRecordBytes = 512;

/** Records by key; none is forgotten while its key may still be run. */
export class RecordBook {
	readonly #bounds: RecordBounds;
	readonly #records = new Map<IdempotencyKey, KeyRecord>();
	#usedBytes = 0;

	/**
	 * @param bounds - The bounds.
	 */
	constructor(bounds: RecordBounds) {
		this.#bounds = bounds;
	}

	/** Gets the number of records. */
	get size(): number {
		return this.#records.size;
	}

	/**
	 * Gets the record of a key.
	 *
	 * @param key - The key.
	 * @returns The record, if there is one.
	 */
	get(key: IdempotencyKey): KeyRecord | undefined {
		return this.#records.get(key);
	}

	/**
	 * Records that a key begins to run; keeps room for its answer.
	 *
	 * @param key - The key.
	 * @param fingerprint - The digest of its request.
	 * @param keyTimeMs - The time that the key carries.
	 * @returns False if there is no room.
	 */
	begin(key: IdempotencyKey, fingerprint: string, keyTimeMs: number): boolean {
		const formerBytes = this.#records.get(key)?.sizeBytes ?? 0;
		const sizeBytes = emptyRecordBytes + this.#bounds.answerBytes;
		if (this.#usedBytes - formerBytes + sizeBytes > this.#bounds.totalBytes) {
			return false;
		}

		this.#set(key, {
			fingerprint,
			keyTimeMs,
			sizeBytes,
			state: {kind: 'running'},
		});
		return true;
	}

	/**
	 * Records how a run ended; an answer over the bound is not kept.
	 *
	 * @param key - The key.
	 * @param end - The end.
	 */
	finish(key: IdempotencyKey, end: RunEnd): void {
		const record = this.#records.get(key);
		if (record === undefined) {
			return;
		}

		const answerBytes = end.kind === 'answered' ? getBytes(end.answer) : 0;
		const isKept = answerBytes <= this.#bounds.answerBytes;
		this.#set(key, {
			...record,
			sizeBytes: emptyRecordBytes + (isKept ? answerBytes : 0),
			state: isKept ? end : {kind: 'unknown'},
		});
	}

	/**
	 * Forgets the ended records of keys that may not be run any more.
	 *
	 * @param oldestMs - The time of the oldest key that may be run.
	 */
	forgetBefore(oldestMs: number): void {
		for (const [key, record] of this.#records) {
			if (record.keyTimeMs >= oldestMs) {
				return;
			}

			if (record.state.kind !== 'running') {
				this.#records.delete(key);
				this.#usedBytes -= record.sizeBytes;
			}
		}
	}

	#set(key: IdempotencyKey, record: KeyRecord): void {
		this.#usedBytes -= this.#records.get(key)?.sizeBytes ?? 0;
		this.#usedBytes += record.sizeBytes;
		this.#records.set(key, record);
	}
}

function getBytes(answer: KeptAnswer): number {
	return JSON.stringify(answer.headers).length + answer.body.length;
}

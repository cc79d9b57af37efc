/** Stores key records, limited by the age of the keys and by total size. */

import type {IdempotencyKey} from '@bilberryscale/core';
import type {StoredAnswer, KeyRecord, RunOutcome} from './key-record.js';

/** The size limits of a `KeyRecordStore`. */
export type RecordLimits = {
	/** The maximum size of all records. */
	readonly maxTotalBytes: number;
	/** The maximum size of a stored answer. */
	readonly maxAnswerBytes: number;
};

/** The default size limits of an entry host. */
export const defaultRecordLimits: RecordLimits = {
	maxTotalBytes: 64 * 1024 * 1024,
	maxAnswerBytes: 64 * 1024,
};

const recordOverheadBytes = 512;

/**
 * Key records by key. No record is evicted while its key could still be
 * accepted; a full store refuses new keys instead.
 */
export class KeyRecordStore {
	readonly #limits: RecordLimits;
	readonly #records = new Map<IdempotencyKey, KeyRecord>();
	#usedBytes = 0;

	/**
	 * @param limits - The size limits.
	 */
	constructor(limits: RecordLimits) {
		this.#limits = limits;
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
	 * Records that a key starts to run and reserves space for its answer.
	 *
	 * @param key - The key.
	 * @param fingerprint - The digest of its request.
	 * @param keyTimestampMs - The timestamp that the key contains.
	 * @returns False if the store is full.
	 */
	begin(
		key: IdempotencyKey,
		fingerprint: string,
		keyTimestampMs: number,
	): boolean {
		const previousBytes = this.#records.get(key)?.sizeBytes ?? 0;
		const sizeBytes = recordOverheadBytes + this.#limits.maxAnswerBytes;
		if (
			this.#usedBytes - previousBytes + sizeBytes >
			this.#limits.maxTotalBytes
		) {
			return false;
		}

		this.#set(key, {
			fingerprint,
			keyTimestampMs,
			sizeBytes,
			state: {kind: 'running'},
		});
		return true;
	}

	/**
	 * Records the outcome of a run. An answer over the size limit is not stored;
	 * the outcome is then recorded as unknown.
	 *
	 * @param key - The key.
	 * @param outcome - The outcome.
	 */
	finish(key: IdempotencyKey, outcome: RunOutcome): void {
		const record = this.#records.get(key);
		if (record === undefined) {
			return;
		}

		const answerBytes =
			outcome.kind === 'answered' ? getSizeBytes(outcome.answer) : 0;
		const isStored = answerBytes <= this.#limits.maxAnswerBytes;
		this.#set(key, {
			...record,
			sizeBytes: recordOverheadBytes + (isStored ? answerBytes : 0),
			state: isStored ? outcome : {kind: 'unknown'},
		});
	}

	/**
	 * Removes the records of keys that are too old to be accepted, except those
	 * that are still running. It goes through the records in the order in which
	 * they were added and stops at the first whose key is not too old.
	 *
	 * @param oldestTimestampMs - The timestamp of the oldest key that is accepted.
	 */
	removeOlderThan(oldestTimestampMs: number): void {
		for (const [key, record] of this.#records) {
			if (record.keyTimestampMs >= oldestTimestampMs) {
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

function getSizeBytes(answer: StoredAnswer): number {
	return JSON.stringify(answer.headers).length + answer.body.length;
}

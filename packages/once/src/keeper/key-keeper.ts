/** Decides whether a key may begin to run on this host. */

import {
	notRun,
	perhapsRun,
	type Failure,
	type IdempotencyKey,
} from '@bilberryscale/core';
import {getKeyTimeMs} from '../key/timed-key.js';
import type {FleetClock} from '../fleet/fleet-clock.js';
import type {KeptAnswer, KeyRecord, RunEnd} from '../records/key-record.js';
import type {RecordBook} from '../records/record-book.js';
import {getBucket} from '../tenure/bucket.js';
import type {Tenure, TenureHolder} from '../tenure/tenure-holder.js';
import type {TenurePolicy} from '../tenure/tenure-policy.js';

/** What a keeper works with. */
export type KeyKeeperOptions = {
	readonly policy: TenurePolicy;
	readonly holder: TenureHolder;
	readonly records: RecordBook;
	readonly fleetClock: FleetClock;
};

/** A request under a key. */
export type KeyRequest = {
	readonly key: IdempotencyKey;
	/** The digest of what the caller asked for. */
	readonly fingerprint: string;
	/** Whether this host has just made the key, so that no other can know it. */
	readonly isNew: boolean;
};

/** What is to be done with a request. */
export type KeyDecision =
	| {readonly kind: 'run'}
	| {readonly kind: 'replay'; readonly answer: KeptAnswer}
	| {readonly kind: 'refuse'; readonly failure: Failure};

/** The keys of one incarnation. */
export class KeyKeeper {
	readonly #options: KeyKeeperOptions;

	/**
	 * @param options - The tenures, the records and the fleet's time.
	 */
	constructor(options: KeyKeeperOptions) {
		this.#options = options;
	}

	/**
	 * Decides on a request; after `run` the caller must call `finish`.
	 *
	 * @remarks One clock reading serves the lease and the key's time. With two,
	 * a pause between them lets a host whose lease is over accept a key that its
	 * successor accepts too.
	 * @param request - The request.
	 * @param nowMs - The monotonic time, read once.
	 * @returns What is to be done.
	 */
	begin(request: KeyRequest, nowMs: number): KeyDecision {
		const {key, fingerprint, isNew} = request;
		const {records, holder, policy, fleetClock} = this.#options;
		const fleetMs = fleetClock.getTimeMs(nowMs);
		records.forgetBefore(fleetMs - policy.windowMs);
		const known = this.#decideByRecord(records.get(key), fingerprint);
		if (known !== undefined) {
			return known;
		}

		const tenure = holder.getTenure(getBucket(key), nowMs);
		if (tenure === undefined) {
			return refuse(perhapsRun('no-tenure', 'This host may not run the key.'));
		}

		const keyTimeMs = getKeyTimeMs(key);
		const fault = isNew
			? undefined
			: this.#findTimeFault(keyTimeMs, tenure, fleetMs);
		if (fault !== undefined) {
			return refuse(fault);
		}

		return records.begin(key, fingerprint, keyTimeMs)
			? {kind: 'run'}
			: refuse(notRun('records-full', 'The records of this host are full.'));
	}

	/**
	 * Records how a run ended.
	 *
	 * @param key - The key that began.
	 * @param end - The end.
	 */
	finish(key: IdempotencyKey, end: RunEnd): void {
		this.#options.records.finish(key, end);
	}

	#decideByRecord(
		record: KeyRecord | undefined,
		fingerprint: string,
	): KeyDecision | undefined {
		if (record === undefined) {
			return undefined;
		}

		if (record.fingerprint !== fingerprint) {
			return refuse(
				perhapsRun('key-conflict', 'The key came with another request.'),
			);
		}

		switch (record.state.kind) {
			case 'answered': {
				return {kind: 'replay', answer: record.state.answer};
			}

			case 'running': {
				return refuse(perhapsRun('still-running', 'The first send runs yet.'));
			}

			case 'unknown': {
				return refuse(
					perhapsRun('outcome-unknown', 'The first send may have run.'),
				);
			}

			case 'not-run': {
				return undefined;
			}
		}
	}

	#findTimeFault(
		keyTimeMs: number,
		tenure: Tenure,
		fleetMs: number,
	): Failure | undefined {
		const {policy, fleetClock} = this.#options;
		const {futureMs, clockErrorMs, windowMs} = policy;
		const sinceMs = fleetClock.getTimeMs(tenure.sinceMs);
		if (keyTimeMs > fleetMs + futureMs) {
			const detail = `The key is ${keyTimeMs - fleetMs} ms ahead.`;
			return fleetMs > sinceMs + clockErrorMs
				? notRun('key-from-future', detail)
				: perhapsRun('key-from-future', detail);
		}

		if (keyTimeMs < fleetMs - windowMs) {
			return perhapsRun('key-too-old', `The key is over ${windowMs} ms old.`);
		}

		return keyTimeMs <= sinceMs + futureMs + clockErrorMs
			? perhapsRun('key-too-old', 'The key may have begun on another host.')
			: undefined;
	}
}

function refuse(failure: Failure): KeyDecision {
	return {kind: 'refuse', failure};
}

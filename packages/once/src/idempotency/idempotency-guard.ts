/** Decides whether the request of an idempotency key may run on this host. */

import {
	notRunFailure,
	possiblyRunFailure,
	type Failure,
	type IdempotencyKey,
} from '@bilberryscale/core';
import {getKeyTimestampMs} from '../key/uuid-v7-key.js';
import type {FleetClock} from '../fleet/fleet-clock.js';
import type {
	StoredAnswer,
	KeyRecord,
	RunOutcome,
} from '../records/key-record.js';
import type {KeyRecordStore} from '../records/key-record-store.js';
import {getBucket} from '../lease/bucket.js';
import type {Lease, LeaseHolder} from '../lease/lease-holder.js';
import type {LeasePolicy} from '../lease/lease-policy.js';

/** The dependencies of an `IdempotencyGuard`. */
export type IdempotencyGuardOptions = {
	readonly policy: LeasePolicy;
	readonly holder: LeaseHolder;
	readonly records: KeyRecordStore;
	readonly fleetClock: FleetClock;
};

/** A request with its idempotency key. */
export type KeyRequest = {
	readonly key: IdempotencyKey;
	/** A digest of the request; another one under the same key is a conflict. */
	readonly fingerprint: string;
	/** Whether this host has just generated the key, so that no other knows it. */
	readonly isNew: boolean;
};

/** Whether to run a request, replay its stored answer or refuse it. */
export type KeyDecision =
	| {readonly kind: 'run'}
	| {readonly kind: 'replay'; readonly answer: StoredAnswer}
	| {readonly kind: 'refuse'; readonly failure: Failure};

/**
 * Decides which keys this incarnation of the host may run, so that each key runs
 * at most once in the fleet.
 */
export class IdempotencyGuard {
	readonly #options: IdempotencyGuardOptions;

	/**
	 * @param options - The leases, the records and the fleet clock.
	 */
	constructor(options: IdempotencyGuardOptions) {
		this.#options = options;
	}

	/**
	 * Decides on a request. After the decision `run`, the caller must call `finish`.
	 *
	 * @remarks The lease and the key's timestamp are checked against one clock
	 * reading. With two readings, a pause between them lets a host whose lease has
	 * expired accept a key that the next lease holder accepts as well.
	 * @param request - The request.
	 * @param nowMs - The monotonic time in milliseconds, read once.
	 * @returns The decision.
	 */
	begin(request: KeyRequest, nowMs: number): KeyDecision {
		const {key, fingerprint, isNew} = request;
		const {records, holder, policy, fleetClock} = this.#options;
		const fleetTimeMs = fleetClock.getTimeMs(nowMs);
		records.removeOlderThan(fleetTimeMs - policy.maxKeyAgeMs);
		const decision = this.#decideFromRecord(records.get(key), fingerprint);
		if (decision !== undefined) {
			return decision;
		}

		const lease = holder.getLease(getBucket(key), nowMs);
		if (lease === undefined) {
			return refuse(
				possiblyRunFailure('no-tenure', 'This host may not run the key.'),
			);
		}

		const keyTimestampMs = getKeyTimestampMs(key);
		const rejection = isNew
			? undefined
			: this.#checkKeyTimestamp(keyTimestampMs, lease, fleetTimeMs);
		if (rejection !== undefined) {
			return refuse(rejection);
		}

		return records.begin(key, fingerprint, keyTimestampMs)
			? {kind: 'run'}
			: refuse(
					notRunFailure('records-full', 'The records of this host are full.'),
				);
	}

	/**
	 * Records the outcome of a run.
	 *
	 * @param key - The key that was run.
	 * @param outcome - The outcome.
	 */
	finish(key: IdempotencyKey, outcome: RunOutcome): void {
		this.#options.records.finish(key, outcome);
	}

	#decideFromRecord(
		record: KeyRecord | undefined,
		fingerprint: string,
	): KeyDecision | undefined {
		if (record === undefined) {
			return undefined;
		}

		if (record.fingerprint !== fingerprint) {
			return refuse(
				possiblyRunFailure(
					'key-conflict',
					'The key came with another request.',
				),
			);
		}

		switch (record.state.kind) {
			case 'answered': {
				return {kind: 'replay', answer: record.state.answer};
			}

			case 'running': {
				return refuse(
					possiblyRunFailure('still-running', 'The first send runs yet.'),
				);
			}

			case 'unknown': {
				return refuse(
					possiblyRunFailure('outcome-unknown', 'The first send may have run.'),
				);
			}

			case 'not-run': {
				return undefined;
			}
		}
	}

	#checkKeyTimestamp(
		keyTimestampMs: number,
		lease: Lease,
		fleetTimeMs: number,
	): Failure | undefined {
		const {policy, fleetClock} = this.#options;
		const {maxKeyLeadMs, maxClockErrorMs, maxKeyAgeMs} = policy;
		const heldSinceMs = fleetClock.getTimeMs(lease.heldSinceMs);
		if (keyTimestampMs > fleetTimeMs + maxKeyLeadMs) {
			const detail = `The key is ${keyTimestampMs - fleetTimeMs} ms ahead.`;
			return fleetTimeMs > heldSinceMs + maxClockErrorMs
				? notRunFailure('key-from-future', detail)
				: possiblyRunFailure('key-from-future', detail);
		}

		if (keyTimestampMs < fleetTimeMs - maxKeyAgeMs) {
			return possiblyRunFailure(
				'key-too-old',
				`The key is over ${maxKeyAgeMs} ms old.`,
			);
		}

		return keyTimestampMs <= heldSinceMs + maxKeyLeadMs + maxClockErrorMs
			? possiblyRunFailure(
					'key-too-old',
					'The key may have begun on another host.',
				)
			: undefined;
	}
}

function refuse(failure: Failure): KeyDecision {
	return {kind: 'refuse', failure};
}

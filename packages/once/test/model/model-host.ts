/** A host of the fleet model, with its own clock and incarnations. */

import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {
	FleetClock,
	LeaseGrantor,
	IdempotencyGuard,
	KeyRecordStore,
	LeaseHolder,
	type LeasePolicy,
} from '../../src/index.js';

const recordLimits = {maxTotalBytes: 1e9, maxAnswerBytes: 1000};
const epochMs = Date.parse('2026-01-01T00:00:00Z');
const driftPerHost = [0, 0.0005, -0.0005, 0.0002, -0.0003, 0.0004];
const clockErrorPerHostMs = [0, -100, 100, 50, -50, 90];

/** A host; `restart` discards its whole state. */
export class ModelHost {
	readonly id: HostId;
	readonly index: number;
	incarnation!: IncarnationId;
	grantor!: LeaseGrantor;
	holder!: LeaseHolder;
	guard!: IdempotencyGuard;
	fleetClock!: FleetClock;
	sequence = 0;
	/** The model time until which the process is paused. */
	pausedUntilMs = 0;
	/** Whether the host has received the newer of the two published lists. */
	hasNewList = false;
	#incarnationCount = 0;

	constructor(index: number) {
		this.index = index;
		this.id = makeId<HostId>(`host-${index}`);
	}

	/** Gets the monotonic time, whose origin and rate differ between hosts. */
	getMonotonicMs(modelMs: number): number {
		return 1000 * this.index + modelMs * (1 + driftPerHost[this.index]!);
	}

	restart(modelMs: number, policy: LeasePolicy, hasGracePeriod: boolean): void {
		this.#incarnationCount++;
		const nowMs = this.getMonotonicMs(modelMs);
		const offsetMs =
			epochMs + modelMs - nowMs + clockErrorPerHostMs[this.index]!;
		this.incarnation = makeId<IncarnationId>(
			`${this.id}/${this.#incarnationCount}`,
		);
		this.sequence = 0;
		this.pausedUntilMs = 0;
		this.fleetClock = new FleetClock(offsetMs);
		this.grantor = new LeaseGrantor({
			policy,
			startedAtMs: hasGracePeriod ? nowMs : Number.NEGATIVE_INFINITY,
		});
		this.holder = new LeaseHolder(policy);
		this.guard = new IdempotencyGuard({
			policy,
			holder: this.holder,
			records: new KeyRecordStore(recordLimits),
			fleetClock: this.fleetClock,
		});
	}
}

/** Gets the exact wall-clock time at a time of the model. */
export function getWallTimeMs(modelMs: number): number {
	return epochMs + modelMs;
}

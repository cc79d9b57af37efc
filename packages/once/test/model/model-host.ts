/** One host of the model, with its own clock and its own lives. */

import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {
	FleetClock,
	Grantor,
	KeyKeeper,
	RecordBook,
	TenureHolder,
	type TenurePolicy,
} from '../../src/index.js';

const recordBounds = {totalBytes: 1e9, answerBytes: 1000};
const epochMs = Date.parse('2026-01-01T00:00:00Z');
const driftPerHost = [0, 0.0005, -0.0005, 0.0002, -0.0003, 0.0004];
const clockErrorPerHostMs = [0, -100, 100, 50, -50, 90];

/** A host; `restart` makes it forget everything. */
export class ModelHost {
	readonly id: HostId;
	readonly index: number;
	incarnation!: IncarnationId;
	grantor!: Grantor;
	holder!: TenureHolder;
	keeper!: KeyKeeper;
	fleetClock!: FleetClock;
	sequence = 0;
	/** The true time until which the process is stopped. */
	pausedUntilMs = 0;
	/** Whether the host has the newer of the two published lists. */
	hasNewList = false;
	#lives = 0;

	constructor(index: number) {
		this.index = index;
		this.id = makeId<HostId>(`host-${index}`);
	}

	/** Gets the monotonic time: another start and rate than other hosts. */
	getMonotonicMs(trueMs: number): number {
		return 1000 * this.index + trueMs * (1 + driftPerHost[this.index]!);
	}

	restart(trueMs: number, policy: TenurePolicy, isSilent: boolean): void {
		this.#lives++;
		const nowMs = this.getMonotonicMs(trueMs);
		const offsetMs =
			epochMs + trueMs - nowMs + clockErrorPerHostMs[this.index]!;
		this.incarnation = makeId<IncarnationId>(`${this.id}/${this.#lives}`);
		this.sequence = 0;
		this.pausedUntilMs = 0;
		this.fleetClock = new FleetClock(offsetMs);
		this.grantor = new Grantor({
			policy,
			startedAtMs: isSilent ? nowMs : Number.NEGATIVE_INFINITY,
		});
		this.holder = new TenureHolder(policy);
		this.keeper = new KeyKeeper({
			policy,
			holder: this.holder,
			records: new RecordBook(recordBounds),
			fleetClock: this.fleetClock,
		});
	}
}

/** The wall-clock time of a moment of the model. */
export function getTrueDateMs(trueMs: number): number {
	return epochMs + trueMs;
}

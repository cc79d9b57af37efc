/** Writes the log lines about reads of the snapshot: what has changed, from where, and which sources were left. */

import type {Clock} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';
import {getViaAges} from './confirmation.js';
import type {
	PublishedChange,
	PublishedChanges,
	ReadError,
	SnapshotSource,
	StorePosition,
} from './snapshot-source.js';

/** A read that has brought no snapshot. */
export type UnsuccessfulRead = {
	readonly source: SnapshotSource;
	readonly detail: string;
	/** When it began, on the monotonic clock, in milliseconds. */
	readonly startedAtMs: number;
};

/** A read that has brought changes. */
export type SuccessfulRead = {
	readonly source: SnapshotSource;
	readonly result: PublishedChanges;
	/** The changes that were new to this host. */
	readonly newChanges: readonly PublishedChange[];
};

/** Names the events of the feed and their fields. */
export class SnapshotLog {
	readonly #log: EventLog;
	readonly #clock: Clock;

	/**
	 * @param log - The log.
	 * @param clock - The clock.
	 */
	constructor(log: EventLog, clock: Clock) {
		this.#log = log;
		this.#clock = clock;
	}

	/**
	 * Writes that anything was read for the first time.
	 *
	 * @param read - The read.
	 * @param position - The state of the store that it has brought.
	 */
	writeFirstRead(read: SuccessfulRead, position: StorePosition): void {
		this.#log.writeState('knowledge read for the first time', {
			...position,
			items: read.newChanges.length,
			...getOrigin(read),
		});
	}

	/**
	 * Writes a line for each change of a read.
	 *
	 * @param read - The read.
	 * @param formerAgeMs - The age that what was in force had reached, in milliseconds.
	 * @param areRemovalsHeld - Whether removed targets are kept for a while.
	 */
	writeChanges(
		read: SuccessfulRead,
		formerAgeMs: number,
		areRemovalsHeld: boolean,
	): void {
		for (const {name, text, revision} of read.newChanges) {
			this.#log.write('knowledge changed', {
				item: name,
				revision,
				...getOrigin(read),
				formerAgeMs: Number.isFinite(formerAgeMs)
					? Math.round(formerAgeMs)
					: undefined,
				outcome: text === undefined ? 'removed' : 'set',
				isHeld: text === undefined && areRemovalsHeld,
			});
		}
	}

	/**
	 * Writes that removed targets were not published again in time.
	 *
	 * @param names - The names of their items.
	 */
	writeExpiries(names: readonly string[]): void {
		for (const name of names) {
			this.#log.write('knowledge changed', {
				item: name,
				outcome: 'not back, removed',
			});
		}
	}

	/**
	 * Writes that another source is read from now on.
	 *
	 * @param source - The source.
	 */
	writeSourceChosen(source: SnapshotSource): void {
		this.#log.writeState('knowledge source chosen', {source: source.name});
	}

	/**
	 * Writes that the peer which this host read from is left.
	 *
	 * @param read - The read that was the reason.
	 */
	writeSourceLost(read: UnsuccessfulRead): void {
		this.#log.write('knowledge source lost', this.#getFields(read));
	}

	/**
	 * Writes that a peer which this host did not read from can't be used.
	 *
	 * @param read - The read that was the reason.
	 */
	writeSourceSkipped(read: UnsuccessfulRead): void {
		this.#log.write('knowledge source skipped', this.#getFields(read));
	}

	/**
	 * Writes that a read has failed.
	 *
	 * @param read - The read.
	 * @param progress - How far the response had come.
	 * @param failureCount - How many reads of this source have failed in a row.
	 */
	writeFailure(
		read: UnsuccessfulRead,
		progress: ReadError['progress'],
		failureCount: number,
	): void {
		this.#log.write('snapshot read failed', {
			...this.#getFields(read),
			...progress,
			failureCount,
		});
	}

	#getFields({source, detail, startedAtMs}: UnsuccessfulRead) {
		const waitedMs = Math.round(this.#clock.monotonicMs() - startedAtMs);
		return {source: source.name, detail, waitedMs};
	}
}

function getOrigin({source, result}: SuccessfulRead) {
	return {
		source: source.name,
		ageMs: Math.round(result.ageMs),
		via: result.via,
		viaAgesMs: getViaAges(result),
	};
}

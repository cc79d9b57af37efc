/** The audit trail: sequenced and hash-chained, bounded in memory. */

import type {
	AuditEvent,
	Clock,
	HostId,
	IncarnationId,
} from '@bilberryscale/core';
import {getAuditHash} from './audit-hash.js';

/** An event in its place in the trail. */
export type AuditRecord = AuditEvent & {
	readonly sequence: number;
	readonly at: string;
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	/** The hash of the record before this one; empty for the first. */
	readonly previousHash: string;
	/** The hash over all other fields. */
	readonly hash: string;
};

/** What a trail works with. */
export type AuditTrailOptions = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly clock: Clock;
	/** How many records are kept for reading. */
	readonly capacity: number;
	/** Takes each record out of the process. */
	readonly publish: (record: AuditRecord) => void;
};

/** The trail of one incarnation. */
export class AuditTrail {
	readonly #options: AuditTrailOptions;
	#records: AuditRecord[] = [];
	#sequence = 0;
	#lastHash = '';

	/**
	 * @param options - Whose trail it is and where it goes.
	 */
	constructor(options: AuditTrailOptions) {
		this.#options = options;
	}

	/**
	 * Records a change.
	 *
	 * @param event - The change.
	 */
	add(event: AuditEvent): void {
		const record = this.#makeRecord(event);
		this.#sequence++;
		this.#lastHash = record.hash;
		this.#records.push(record);
		if (this.#records.length > this.#options.capacity) {
			this.#records = this.#records.slice(-this.#options.capacity);
		}

		this.#options.publish(record);
	}

	/**
	 * Gets the records that are still kept.
	 *
	 * @param fromSequence - The first sequence number wanted.
	 * @returns The records in order.
	 */
	getRecords(fromSequence = 0): readonly AuditRecord[] {
		return this.#records.filter(({sequence}) => sequence >= fromSequence);
	}

	#makeRecord(event: AuditEvent): AuditRecord {
		const {host, incarnation, clock} = this.#options;
		const content = {
			...event,
			sequence: this.#sequence,
			at: clock.now().toISOString(),
			host,
			incarnation,
			previousHash: this.#lastHash,
		};
		return {...content, hash: getAuditHash(content)};
	}
}

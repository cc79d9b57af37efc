/** The audit trail: numbered, hash-chained records with bounded memory use. */

import type {
	AuditEvent,
	Clock,
	HostId,
	IncarnationId,
} from '@bilberryscale/core';
import {getAuditHash} from './audit-hash.js';

/** An audit event with its position in the trail. */
export type AuditRecord = AuditEvent & {
	readonly sequence: number;
	readonly at: string;
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	/** The hash of the previous record; empty for the first. */
	readonly previousHash: string;
	/** The hash of all other fields. */
	readonly hash: string;
};

/** The options of an audit trail. */
export type AuditTrailOptions = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly clock: Clock;
	/** How many records are kept in memory. */
	readonly capacity: number;
	/** Writes each record to a place outside the process. */
	readonly publish: (record: AuditRecord) => void;
};

/** The audit trail of one incarnation of the process. */
export class AuditTrail {
	readonly #options: AuditTrailOptions;
	#records: AuditRecord[] = [];
	#sequence = 0;
	#lastHash = '';

	/**
	 * @param options - The host and incarnation, the clock, the capacity and the output.
	 */
	constructor(options: AuditTrailOptions) {
		this.#options = options;
	}

	/**
	 * Adds a record and publishes it; the oldest is dropped if the trail is full.
	 *
	 * @param event - The event to record.
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
	 * Gets the records that are still in memory.
	 *
	 * @param fromSequence - The lowest sequence number to return.
	 * @returns The records in ascending order.
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

/** Verifies that an audit trail was neither changed nor cut. */

import type {AuditRecord} from './audit-trail.js';
import {getAuditHash} from './audit-hash.js';

/**
 * Verifies the records of one host.
 *
 * @param records - The records in order, with their fields in the order of the host.
 * @param previous - The record read last before these; undefined if there is none.
 * @returns One message for each break or gap.
 */
export function verifyAuditTrail(
	records: readonly AuditRecord[],
	previous?: AuditRecord,
): readonly string[] {
	const faults: string[] = [];
	let before = previous;
	for (const record of records) {
		faults.push(...verifyRecord(record, before));
		before = record;
	}

	return faults;
}

function verifyRecord(
	record: AuditRecord,
	before: AuditRecord | undefined,
): readonly string[] {
	const {hash, ...content} = record;
	const name = `record ${record.sequence} of ${record.incarnation}`;
	const faults =
		getAuditHash(content) === hash
			? []
			: [`${name}: was changed, its hash fails`];
	const isSameLife = before?.incarnation === record.incarnation;
	const expected = isSameLife ? before.sequence + 1 : 0;
	if (record.sequence !== expected) {
		return [
			...faults,
			`gap: records ${expected} to ${record.sequence - 1} of ${record.incarnation} are missing`,
		];
	}

	return record.previousHash === (isSameLife ? before.hash : '')
		? faults
		: [...faults, `${name}: does not follow the record before it`];
}

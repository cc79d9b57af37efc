/** Checks an audit trail for changed and missing records. */

import type {AuditRecord} from './audit-trail.js';
import {getAuditHash} from './audit-hash.js';

/**
 * Verifies the hashes and sequence numbers of one host's records.
 *
 * @param records - The records in order, each with its fields in the order in which the host sent them.
 * @param precedingRecord - The record before the first of them; undefined if there is none.
 * @returns A message for each problem.
 */
export function verifyAuditTrail(
	records: readonly AuditRecord[],
	precedingRecord?: AuditRecord,
): readonly string[] {
	const problems: string[] = [];
	let previous = precedingRecord;
	for (const record of records) {
		problems.push(...verifyRecord(record, previous));
		previous = record;
	}

	return problems;
}

function verifyRecord(
	record: AuditRecord,
	previous: AuditRecord | undefined,
): readonly string[] {
	const {hash, ...content} = record;
	const label = `record ${record.sequence} of ${record.incarnation}`;
	const problems =
		getAuditHash(content) === hash
			? []
			: [`${label}: was changed, its hash fails`];
	const isSameIncarnation = previous?.incarnation === record.incarnation;
	const expectedSequence = isSameIncarnation ? previous.sequence + 1 : 0;
	if (record.sequence !== expectedSequence) {
		return [
			...problems,
			`gap: records ${expectedSequence} to ${record.sequence - 1} of ${record.incarnation} are missing`,
		];
	}

	return record.previousHash === (isSameIncarnation ? previous.hash : '')
		? problems
		: [...problems, `${label}: does not follow the record before it`];
}

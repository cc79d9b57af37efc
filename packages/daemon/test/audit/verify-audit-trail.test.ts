import {
	makeId,
	ManualClock,
	type HostId,
	type IncarnationId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {AuditTrail, type AuditRecord} from '../../src/audit/audit-trail.js';
import {verifyAuditTrail} from '../../src/audit/verify-audit-trail.js';

function makeRecords(
	count: number,
	incarnation = 'incarnation-1',
): AuditRecord[] {
	const records: AuditRecord[] = [];
	const trail = new AuditTrail({
		host: makeId<HostId>('entry-1'),
		incarnation: makeId<IncarnationId>(incarnation),
		clock: new ManualClock(),
		capacity: 100,
		publish: (record) => records.push(record),
	});
	for (let index = 0; index < count; index++) {
		trail.add({
			kind: 'bundle-seen',
			subject: `version ${index}`,
			cause: 'test',
		});
	}

	return records;
}

describe('verifyAuditTrail', () => {
	const doTest = (
		records: readonly AuditRecord[],
		expected: readonly string[],
		previous?: AuditRecord,
	) => {
		const problems = verifyAuditTrail(records, previous);
		assert.is(problems.length, expected.length, problems.join('; '));
		for (const [index, problem] of problems.entries()) {
			assert.match(problem, expected[index]!);
		}
	};

	it('finds no problem in a complete trail', () => {
		doTest(makeRecords(4), []);
		const records = makeRecords(4);
		doTest(records.slice(2), [], records[1]);
	});

	it('finds no problem after a restart of the host', () => {
		doTest([...makeRecords(2), ...makeRecords(2, 'incarnation-2')], []);
	});

	it('finds a changed record', () => {
		const records = makeRecords(3);
		records[1] = {...records[1]!, cause: 'another'};
		doTest(records, ['record 1 of incarnation-1: was changed']);
	});

	it('finds a forged record', () => {
		const records = makeRecords(3);
		const others = makeRecords(3, 'incarnation-1');
		const forged = {...others[1]!, previousHash: 'x'};
		doTest(
			[records[0]!, forged, records[2]!],
			['was changed', 'does not follow'],
		);
	});

	it('finds a gap', () => {
		const records = makeRecords(5);
		doTest(
			[records[0]!, records[3]!, records[4]!],
			['gap: records 1 to 2 of incarnation-1 are missing'],
		);
		doTest(records.slice(2), ['gap: records 0 to 1']);
	});
});

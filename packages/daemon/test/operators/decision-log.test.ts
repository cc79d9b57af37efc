import {makeId, type RequestId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	DecisionLog,
	type CallRecord,
} from '../../src/operators/decision-log.js';

function makeRecord(id: string, isOrdinary = true): CallRecord {
	return {
		requestId: makeId<RequestId>(id),
		endedAt: new Date(0),
		sends: 1,
		service: undefined,
		method: 'GET',
		isIdempotent: true,
		hasKey: false,
		isOrdinary,
		outcome: 'status 200',
		durationMs: 1,
		decisions: [],
	};
}

describe('DecisionLog', () => {
	const doTest = (
		records: readonly CallRecord[],
		expected: Readonly<Record<string, number>>,
	) => {
		const log = new DecisionLog({ordinary: 2, unusual: 1});
		for (const record of records) {
			log.add(record);
		}

		for (const [id, count] of Object.entries(expected)) {
			assert.is(log.getRecords(id).length, count, id);
		}
	};

	it('returns every record of a request id', () => {
		doTest([makeRecord('a'), makeRecord('a')], {a: 2, b: 0});
	});

	it('evicts the oldest record', () => {
		const records = ['a', 'b', 'c'].map((id) => makeRecord(id));
		doTest(records, {a: 0, b: 1, c: 1});
	});

	it('does not evict an unusual request for ordinary ones', () => {
		const records = ['b', 'c', 'd'].map((id) => makeRecord(id));
		doTest([makeRecord('a', false), ...records], {a: 1, b: 0, d: 1});
	});
});

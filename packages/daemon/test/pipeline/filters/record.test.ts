import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	makeId,
	ManualClock,
	notRunFailure,
	type RequestId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {Exchange, type FilterResult} from '../../../src/pipeline/exchange.js';
import {makePipeline} from '../../../src/pipeline/filter.js';
import {
	makeRecordFilter,
	makeRecordAttemptFilter,
	type EndedCall,
} from '../../../src/pipeline/filters/record.js';

const served: FilterResult = Ok({
	status: 200,
	headers: {},
	body: Buffer.from('secret answer'),
});
const refused: FilterResult = Err(
	notRunFailure('target-refused', 'secret detail of the caller'),
);

function makeExchange(): Exchange {
	return new Exchange({
		requestId: makeId<RequestId>('r-1'),
		method: 'POST',
		url: '/register/secret-path',
		headers: {'idempotency-key': 'secret-key'},
		body: Readable.from([]),
		receivedAtMs: 0,
		signal: new AbortController().signal,
	});
}

describe('makeRecordFilter', () => {
	const doTest = async (
		results: readonly FilterResult[],
		expectedDecisions: readonly string[],
		expectedOutcome: string,
		isOrdinary: boolean,
	) => {
		const clock = new ManualClock();
		const ended: EndedCall[] = [];
		const remainingResults = [...results];
		const pipeline = makePipeline([
			makeRecordFilter({clock, onEnded: (call) => ended.push(call)}),
			async (_exchange, next) => {
				let result = await next();
				while (result.isErr() && remainingResults.length > 0) {
					result = await next();
				}

				return result;
			},
			makeRecordAttemptFilter(clock),
			async () => {
				clock.advance(5);
				return remainingResults.shift()!;
			},
		]);
		await pipeline(makeExchange());
		const {record} = ended[0]!;
		const decisions = record.decisions.map(
			({afterMs, kind, subject}) => `${afterMs} ${kind} ${subject}`,
		);
		assert.equal(decisions, expectedDecisions);
		assert.is(record.outcome, expectedOutcome);
		assert.is(record.isOrdinary, isOrdinary);
		assert.is(record.durationMs, 5 * results.length);
		assert.not.match(JSON.stringify(record), 'secret');
	};

	it('records an ordinary request without its content', async () => {
		await doTest(
			[served],
			['0 send target unknown', '5 answer status 200'],
			'status 200',
			true,
		);
	});

	it('records each attempt of a retried request', async () => {
		await doTest(
			[refused, served],
			[
				'0 send target unknown',
				'5 failure target-refused, not-run',
				'5 send target unknown',
				'10 answer status 200',
			],
			'status 200',
			false,
		);
	});

	it('records a failure without its detail', async () => {
		await doTest(
			[refused],
			['0 send target unknown', '5 failure target-refused, not-run'],
			'target-refused, not-run',
			false,
		);
	});
});

/** Tests the ejection, probation and pauses of targets. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {Outcome, ServiceDispatcher} from '../../src/index.js';
import {
	makeCall,
	makeDispatcher,
	makeOutcome,
	makeService,
} from '../fixtures.js';

type GetOutcome = (targetNumber: number) => Outcome;

/** Sends calls sequentially, one per millisecond, and counts them by target. */
function sendCalls(
	dispatcher: ServiceDispatcher,
	getOutcome: GetOutcome,
	span: {readonly fromMs: number; readonly calls: number},
): number[] {
	const counts: number[] = [];
	for (let call = 0; call < span.calls; call++) {
		const nowMs = span.fromMs + call;
		const {decision} = dispatcher.offer(makeCall(), nowMs);
		if (decision.kind === 'grant') {
			const {target} = decision;
			const targetNumber = Number(target.target.id.split('-')[1]);
			counts[targetNumber] = (counts[targetNumber] ?? 0) + 1;
			dispatcher.finish(target, getOutcome(targetNumber), nowMs);
		}
	}

	return counts;
}

const served = makeOutcome('served');
const failed = makeOutcome('failed');

describe('ejection', () => {
	const runEjection = (getOutcome: GetOutcome) => {
		const fixture = makeDispatcher(makeService(6));
		sendCalls(fixture.dispatcher, () => served, {fromMs: 0, calls: 100});
		sendCalls(fixture.dispatcher, getOutcome, {fromMs: 100, calls: 300});
		return fixture;
	};

	const doTest = (getOutcome: GetOutcome, cause: RegExp) => {
		const {dispatcher, auditEvents} = runEjection(getOutcome);
		assert.equal(
			auditEvents.map(({kind, subject}) => `${kind} ${subject}`),
			['target-ejected target-0'],
		);
		assert.match(auditEvents[0]!.cause, cause);
		const counts = sendCalls(dispatcher, getOutcome, {fromMs: 400, calls: 50});
		assert.is(counts[0], undefined);
	};

	it('follows consecutive failures', () => {
		doTest(
			(targetNumber) => (targetNumber === 0 ? failed : served),
			/3 sends in a row/v,
		);
	});

	it('follows a latency far above that of its peers', () => {
		const slow = makeOutcome('served', {latencyMs: 200});
		doTest(
			(targetNumber) => (targetNumber === 0 ? slow : served),
			/slower than its peers/v,
		);
	});

	it('ends after one trial request that is served', () => {
		const {dispatcher, auditEvents} = runEjection((targetNumber) =>
			targetNumber === 0 ? failed : served,
		);
		const counts = sendCalls(dispatcher, () => served, {
			fromMs: 5000,
			calls: 100,
		});
		assert.ok(counts[0]! > 1);
		assert.is(auditEvents.at(-1)!.kind, 'target-restored');
	});

	it('continues after one trial request that fails', () => {
		const getOutcome = (targetNumber: number) =>
			targetNumber === 0 ? failed : served;
		const {dispatcher} = runEjection(getOutcome);
		const counts = sendCalls(dispatcher, getOutcome, {
			fromMs: 5000,
			calls: 300,
		});
		assert.is(counts[0], 1);
	});

	it('is limited to a third of the targets when all fail', () => {
		const {auditEvents} = runEjection(() => failed);
		assert.is(new Set(auditEvents.map(({subject}) => subject)).size, 2);
	});
});

describe('a target that refuses', () => {
	it('is paused for longer with each refusal and gets requests again later', () => {
		const {dispatcher} = makeDispatcher(makeService(2));
		const refused = makeOutcome('not-run');
		const counts = sendCalls(
			dispatcher,
			(targetNumber) => (targetNumber === 0 ? refused : served),
			{fromMs: 0, calls: 1000},
		);
		assert.ok(counts[0]! < 20, `${counts[0]} attempts at a full target`);
		const later = sendCalls(dispatcher, () => served, {
			fromMs: 2000,
			calls: 200,
		});
		assert.ok(later[0]! > 50);
	});
});

describe('a target that reports twice its slots', () => {
	const doTest = (inFlight: number, expected: string) => {
		const {dispatcher} = makeDispatcher(makeService(1));
		const outcome = makeOutcome('served', {inFlight});
		sendCalls(dispatcher, () => outcome, {fromMs: 0, calls: 1});
		assert.is(dispatcher.offer(makeCall(), 1).decision.kind, expected);
		dispatcher.settle(400);
		assert.is(dispatcher.getNextWakeMs(), undefined);
	};

	it('is paused until it has had time to drain', () => {
		doTest(12, 'wait');
	});

	it('gets further requests below that load', () => {
		doTest(7, 'grant');
	});
});

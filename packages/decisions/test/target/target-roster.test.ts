/** Ejection, trials and pauses. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {Outcome, ServiceDispatcher} from '../../src/index.js';
import {
	makeCall,
	makeDispatcher,
	makeOutcome,
	makeService,
} from '../fixtures.js';

type Behaviour = (number: number) => Outcome;

/** Sends calls one after the other and counts them by target. */
function send(
	dispatcher: ServiceDispatcher,
	behaviour: Behaviour,
	span: {readonly fromMs: number; readonly calls: number},
): number[] {
	const counts: number[] = [];
	for (let call = 0; call < span.calls; call++) {
		const nowMs = span.fromMs + call;
		const {decision} = dispatcher.offer(makeCall(), nowMs);
		if (decision.kind === 'grant') {
			const {target} = decision;
			const number = Number(target.target.id.split('-')[1]);
			counts[number] = (counts[number] ?? 0) + 1;
			dispatcher.finish(target, behaviour(number), nowMs);
		}
	}

	return counts;
}

const well = makeOutcome('served');
const failed = makeOutcome('failed');

describe('ejection', () => {
	const eject = (behaviour: Behaviour) => {
		const fixture = makeDispatcher(makeService(6));
		send(fixture.dispatcher, () => well, {fromMs: 0, calls: 100});
		send(fixture.dispatcher, behaviour, {fromMs: 100, calls: 300});
		return fixture;
	};

	const doTest = (behaviour: Behaviour, cause: RegExp) => {
		const {dispatcher, audited} = eject(behaviour);
		assert.equal(
			audited.map(({kind, subject}) => `${kind} ${subject}`),
			['target-ejected target-0'],
		);
		assert.match(audited[0]!.cause, cause);
		const counts = send(dispatcher, behaviour, {fromMs: 400, calls: 50});
		assert.is(counts[0], undefined);
	};

	it('follows failures in a row', () => {
		doTest((number) => (number === 0 ? failed : well), /3 sends in a row/v);
	});

	it('follows slowness against its peers', () => {
		const slow = makeOutcome('served', {latencyMs: 200});
		doTest((number) => (number === 0 ? slow : well), /slower than its peers/v);
	});

	it('ends by one trial that is served', () => {
		const {dispatcher, audited} = eject((number) =>
			number === 0 ? failed : well,
		);
		const counts = send(dispatcher, () => well, {fromMs: 5000, calls: 100});
		assert.ok(counts[0]! > 1);
		assert.is(audited.at(-1)!.kind, 'target-restored');
	});

	it('goes on after one trial that fails', () => {
		const behaviour = (number: number) => (number === 0 ? failed : well);
		const {dispatcher} = eject(behaviour);
		const counts = send(dispatcher, behaviour, {fromMs: 5000, calls: 300});
		assert.is(counts[0], 1);
	});

	it('leaves most targets in when all fail', () => {
		const {audited} = eject(() => failed);
		assert.is(new Set(audited.map(({subject}) => subject)).size, 2);
	});
});

describe('a target that refuses', () => {
	it('is left alone for longer with each refusal and then served again', () => {
		const {dispatcher} = makeDispatcher(makeService(2));
		const refused = makeOutcome('not-run');
		const counts = send(
			dispatcher,
			(number) => (number === 0 ? refused : well),
			{fromMs: 0, calls: 1000},
		);
		assert.ok(counts[0]! < 20, `${counts[0]} sends to a full target`);
		const later = send(dispatcher, () => well, {fromMs: 2000, calls: 200});
		assert.ok(later[0]! > 50);
	});
});

describe('a target that reports twice its slots', () => {
	const doTest = (inFlight: number, expected: string) => {
		const {dispatcher} = makeDispatcher(makeService(1));
		const outcome = makeOutcome('served', {inFlight});
		send(dispatcher, () => outcome, {fromMs: 0, calls: 1});
		assert.is(dispatcher.offer(makeCall(), 1).decision.kind, expected);
		dispatcher.settle(400);
		assert.is(dispatcher.getNextWakeMs(), undefined);
	};

	it('is left alone until it has worked them off', () => {
		doTest(12, 'wait');
	});

	it('gets more below that', () => {
		doTest(7, 'grant');
	});
});

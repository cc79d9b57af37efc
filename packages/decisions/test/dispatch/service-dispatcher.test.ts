/** Tests the dispatching of the calls of one service. */

import {makeId, type CallerClass, type TargetId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {
	Decision,
	Grant,
	ServiceDispatcher,
	TargetState,
} from '../../src/index.js';
import {
	allDataCentres,
	makeCall,
	makeDispatcher,
	makeOutcome,
	makeService,
	makeTarget,
	west,
	east,
} from '../fixtures.js';

const press = makeId<CallerClass>('press');

function offer(dispatcher: ServiceDispatcher, nowMs = 0): Decision {
	return dispatcher.offer(makeCall(), nowMs).decision;
}

/** Sends calls until every slot is taken, and returns the target of each. */
function saturate(dispatcher: ServiceDispatcher): TargetState[] {
	const sent: TargetState[] = [];
	for (;;) {
		const call = makeCall();
		const {decision} = dispatcher.offer(call, 0);
		if (decision.kind !== 'grant') {
			dispatcher.withdraw(call);
			return sent;
		}

		sent.push(decision.target);
	}
}

function getFailure(decision: Decision) {
	assert.is(decision.kind, 'refusal');
	return (decision as Extract<Decision, {kind: 'refusal'}>).failure;
}

/** Counts the western targets that are chosen for any of six calls. */
function countWesternTargets(
	dispatcher: ServiceDispatcher,
	nowMs: number,
): number {
	dispatcher.settle(nowMs);
	const decisions = Array.from({length: 6}, () => offer(dispatcher, nowMs));
	const targets = decisions
		.filter((decision) => decision.kind === 'grant')
		.map(({target}) => target)
		.filter(({target}) => target.dataCentre === west);
	return new Set(targets).size;
}

describe('ServiceDispatcher', () => {
	describe('offer', () => {
		it('sends a target no more calls than it has slots', () => {
			const {dispatcher} = makeDispatcher(makeService(3));
			const sent = saturate(dispatcher);
			assert.is(sent.length, 12);
			assert.ok(sent.every(({outstanding}) => outstanding === 4));
		});

		it('does not let a new call overtake waiting calls', () => {
			const {dispatcher} = makeDispatcher(makeService(1));
			const [target] = saturate(dispatcher);
			const first = makeCall();
			dispatcher.offer(first, 0);
			dispatcher.offer(makeCall(), 0);
			const settled = dispatcher.finish(target!, makeOutcome('served'), 1);
			assert.equal(
				settled.map(({call}) => call),
				[first],
			);
		});

		it('refuses at once a call that cannot be served in time, with a time to retry after', () => {
			const {dispatcher} = makeDispatcher(makeService(1));
			const sent = saturate(dispatcher);
			for (let wait = 0; wait < 4; wait++) {
				assert.is(offer(dispatcher).kind, 'wait');
			}

			dispatcher.finish(sent[0]!, makeOutcome('served'), 200);
			dispatcher.finish(sent[1]!, makeOutcome('served'), 400);
			const {kind, ran, retryAfterMs} = getFailure(offer(dispatcher, 400));
			assert.is(kind, 'over-capacity');
			assert.is(ran, 'not-run');
			assert.is(retryAfterMs, 600);
		});

		it('shortens the maximum wait in a standing queue', () => {
			const {dispatcher} = makeDispatcher(makeService(1));
			const [target] = saturate(dispatcher);
			for (let wait = 0; wait < 3; wait++) {
				offer(dispatcher);
			}

			const kinds = [100, 200, 300, 400, 500, 600, 700].map((nowMs) => {
				dispatcher.finish(target!, makeOutcome('served'), nowMs);
				return offer(dispatcher, nowMs).kind;
			});
			assert.equal(new Set(kinds.slice(0, 5)), new Set(['wait']));
			assert.equal(kinds.slice(5), ['refusal', 'refusal']);
		});

		it('evicts a call of a class that has more than its share of a full queue', () => {
			const {dispatcher} = makeDispatcher(makeService(1));
			saturate(dispatcher);
			for (let wait = 0; wait < 8; wait++) {
				assert.is(offer(dispatcher).kind, 'wait');
			}

			const call = makeCall({callerClass: press});
			const {decision, settled} = dispatcher.offer(call, 0);
			assert.is(decision.kind, 'wait');
			assert.is(getFailure(settled[0]!).kind, 'over-capacity');
			assert.is(getFailure(offer(dispatcher)).kind, 'over-capacity');
		});

		it('refuses calls when every data centre is drained', () => {
			const {dispatcher} = makeDispatcher(makeService(2));
			const service = makeService(2);
			const drained = allDataCentres.map(
				({id}) => ({id, state: 'out'}) as const,
			);
			dispatcher.setPlan({service, dataCentres: drained, distances: []}, 0);
			assert.is(getFailure(offer(dispatcher)).kind, 'no-target');
		});
	});

	describe('settle', () => {
		const testExpiry = (deadlineMs: number, atMs: number, expected: string) => {
			const {dispatcher} = makeDispatcher(makeService(1));
			saturate(dispatcher);
			dispatcher.offer(makeCall({deadlineMs}), 0);
			assert.is(dispatcher.getNextWakeMs(), atMs);
			assert.equal(dispatcher.settle(atMs - 1), []);
			const [settlement] = dispatcher.settle(atMs);
			assert.is(getFailure(settlement!).kind, expected);
			assert.is(dispatcher.getNextWakeMs(), undefined);
		};

		it('refuses a call at the maximum queueing time', () => {
			testExpiry(Number.MAX_SAFE_INTEGER, 500, 'queue-timeout');
		});

		it('refuses a call at its deadline', () => {
			testExpiry(300, 300, 'deadline-exceeded');
		});
	});

	describe('retries', () => {
		const retry = (dispatcher: ServiceDispatcher, tried: TargetId[]) =>
			dispatcher.offer(makeCall({triedTargets: tried}), 0).decision;

		it('never go to the same target while there is another', () => {
			const {dispatcher} = makeDispatcher(makeService(2));
			const tried = makeTarget(0).id;
			for (let send = 0; send < 4; send++) {
				const {target} = retry(dispatcher, [tried]) as Grant;
				assert.is.not(target.target.id, tried);
			}

			assert.is(getFailure(retry(dispatcher, [tried])).kind, 'target-refused');
		});

		it('stay within their share of the first attempts', () => {
			const {dispatcher} = makeDispatcher(makeService(3));
			let retries = 0;
			for (let call = 0; call < 1000; call++) {
				const {target} = offer(dispatcher) as Grant;
				retries += dispatcher.takeRetry() ? 1 : 0;
				dispatcher.finish(target, makeOutcome('served'), 0);
			}

			assert.ok(retries >= 95 && retries <= 101, String(retries));
		});

		it('are also credited for calls that have waited', () => {
			const {dispatcher} = makeDispatcher(makeService(1));
			const [target] = saturate(dispatcher);
			while (dispatcher.takeRetry());
			for (let turn = 0; turn < 30; turn++) {
				offer(dispatcher);
				dispatcher.finish(target!, makeOutcome('served'), 0);
			}

			assert.is(dispatcher.takeRetry(), true);
		});

		it('stop when the service as a whole refuses calls', () => {
			const {dispatcher} = makeDispatcher(makeService(3));
			let nowMs = 0;
			for (let call = 0; call < 60; call++) {
				nowMs += 1000;
				const {target} = offer(dispatcher, nowMs) as Grant;
				dispatcher.finish(target, makeOutcome('not-run'), nowMs);
			}

			assert.is(dispatcher.takeRetry(), false);
		});
	});

	describe('setPlan', () => {
		const makeTwoCentreService = () =>
			makeService(0, {
				targets: Array.from({length: 12}, (_, index) =>
					makeTarget(index, index < 6 ? east : west),
				),
			});
		const westDrained = [
			{id: east, state: 'in'},
			{id: west, state: 'out'},
		] as const;

		it('sends nothing to a drained data centre', () => {
			const service = makeTwoCentreService();
			const {dispatcher} = makeDispatcher(service);
			dispatcher.setPlan({service, dataCentres: westDrained, distances: []}, 0);
			const sent = saturate(dispatcher);
			assert.is(sent.length, 24);
			assert.ok(sent.every(({target}) => target.dataCentre === east));
		});

		it('brings the targets of a data centre back gradually', () => {
			const service = makeTwoCentreService();
			const {dispatcher} = makeDispatcher(service);
			dispatcher.setPlan({service, dataCentres: westDrained, distances: []}, 0);
			dispatcher.setPlan(
				{service, dataCentres: allDataCentres, distances: []},
				0,
			);
			const counts = [0, 1000, 2000, 3000].map((nowMs) =>
				countWesternTargets(dispatcher, nowMs),
			);
			assert.is(counts[0], 0);
			assert.ok(counts[1]! < 6, `${counts[1]} targets after a second`);
			assert.ok(counts[3]! > 0);
		});
	});
});

/** Tests the limits of targets that have just started. */

import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {ColdStart, getHostShare, type Grant} from '../../src/index.js';
import {
	firstIncarnation,
	makeCall,
	makeDispatcher,
	makeOutcome,
	makeService,
	makeTarget,
	secondIncarnation,
} from '../fixtures.js';

describe('getHostShare', () => {
	it('adds up to the fleet-wide limit over all hosts', () => {
		const number = fc.integer({min: 0, max: 100});
		const size = fc.integer({min: 1, max: 40});
		fc.assert(
			fc.property(number, size, fc.string(), (total, hosts, key) => {
				let sum = 0;
				for (let rank = 0; rank < hosts; rank++) {
					sum += getHostShare(total, key, {size: hosts, rank});
				}

				assert.is(sum, total);
			}),
			{seed: 1},
		);
	});
});

describe('ColdStart', () => {
	it('raises the limit over time for hosts that send nothing', () => {
		const start = new ColdStart(makeTarget(0), secondIncarnation, 0);
		const sum = (nowMs: number) => {
			let total = 0;
			for (let rank = 0; rank < 16; rank++) {
				total += start.getHostLimit({size: 16, rank}, nowMs);
			}

			return total;
		};

		assert.equal(
			[0, 1999, 2000, 6000].map((nowMs) => sum(nowMs)),
			[1, 1, 2, 4],
		);
	});

	it('resets the limit after a refusal', () => {
		const start = new ColdStart(makeTarget(0), secondIncarnation, 0);
		for (let success = 0; success < 20; success++) {
			start.recordSuccess();
		}

		const fleet = {size: 1, rank: 0};
		assert.is(start.getHostLimit(fleet, 0), 3);
		start.recordRefusal(100);
		assert.is(start.getHostLimit(fleet, 100), 1);
	});
});

describe('a target that turns cold', () => {
	/** Lets all targets answer with one boot id and then with another. */
	const turnCold = (targetCount: number) => {
		const fixture = makeDispatcher(makeService(targetCount));
		const {dispatcher} = fixture;
		for (const bootId of [firstIncarnation, secondIncarnation]) {
			const grants = Array.from(
				{length: 4 * targetCount},
				() => dispatcher.offer(makeCall(), 0).decision as Grant,
			);
			for (const {target} of grants) {
				dispatcher.finish(target, makeOutcome('served', {bootId}), 0);
			}
		}

		return fixture;
	};

	const countGrants = ({dispatcher}: ReturnType<typeof turnCold>) => {
		let grants = 0;
		for (let call = 0; call < 5; call++) {
			const {decision} = dispatcher.offer(makeCall(), 0);
			grants += decision.kind === 'grant' ? 1 : 0;
		}

		return grants;
	};

	it('gets no more requests than its cold allowance and is audited', () => {
		const fixture = turnCold(1);
		assert.is(countGrants(fixture), 1);
		assert.equal(
			fixture.auditEvents.map(({kind}) => kind),
			['target-cold'],
		);
	});

	it('gets no requests from a host whose share is 0', () => {
		const shares = [0, 1, 2].map((rank) => {
			const fixture = turnCold(1);
			fixture.dispatcher.setFleet({size: 3, rank}, 0);
			return countGrants(fixture);
		});
		assert.is(shares.filter((share) => share === 1).length, 1);
		assert.is(shares.filter((share) => share === 0).length, 2);
	});

	it('is warm again after enough successes', () => {
		const fixture = turnCold(1);
		const {dispatcher} = fixture;
		for (let success = 0; success < 30; success++) {
			const {decision} = dispatcher.offer(makeCall(), 0);
			const outcome = makeOutcome('served', {bootId: secondIncarnation});
			dispatcher.finish((decision as Grant).target, outcome, 0);
		}

		assert.is(countGrants(fixture), 4);
	});

	it('counts as cold while it is stalled, until it answers', () => {
		const {dispatcher} = makeDispatcher(makeService(1));
		const offer = (nowMs: number) => {
			const call = makeCall();
			const {decision} = dispatcher.offer(call, nowMs);
			dispatcher.withdraw(call);
			return decision;
		};

		dispatcher.finish((offer(0) as Grant).target, makeOutcome('served'), 0);
		const first = offer(0);
		assert.is(offer(100).kind, 'grant');
		assert.is(offer(300).kind, 'wait');
		const {target} = first as Grant;
		dispatcher.finish(target, makeOutcome('served'), 301);
		assert.is(offer(302).kind, 'grant');
	});

	it('does not turn cold again after a late answer of its previous incarnation', () => {
		const {dispatcher, auditEvents} = turnCold(1);
		const {decision} = dispatcher.offer(makeCall(), 0);
		const late = makeOutcome('served', {bootId: firstIncarnation});
		dispatcher.finish((decision as Grant).target, late, 0);
		assert.is(auditEvents.length, 1);
	});
});

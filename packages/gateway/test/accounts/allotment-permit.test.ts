import {makeId, ManualClock, type TargetId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import type {AllotmentDecision} from '../../src/accounts/allotment-gate.js';
import {AllotmentPermit} from '../../src/accounts/allotment-permit.js';
import type {PickedTarget} from '../../src/choice/target-picker.js';
import {pickWithPermit} from '../../src/relay/pick-with-permit.js';
import {makeAccount} from './gate-fleet.js';

const validMs = 300;

/** A gate that grants as many tokens as it has, and counts those that it gets back. */
function makePermit(tokenCount: number) {
	const clock = new ManualClock();
	const counts = {left: tokenCount, returned: 0};
	const permit = new AllotmentPermit({
		clock,
		account: makeAccount('a', 5),
		requestId: 'r',
		gate: {
			async take(): Promise<AllotmentDecision> {
				counts.left--;
				return counts.left >= 0
					? {isGranted: true, expiresAtMs: clock.monotonicMs() + validMs}
					: {isGranted: false, retryAfterMs: 70, decidedBy: '10.0.0.1'};
			},
			giveBack() {
				counts.returned++;
			},
			isScarce: () => false,
		},
	});
	return {clock, counts, permit};
}

async function settle(): Promise<void> {
	await new Promise(setImmediate);
}

describe('AllotmentPermit', () => {
	describe('hold', () => {
		it('keeps the first token for a request that is sent soon, and for its retries', async () => {
			const {clock, counts, permit} = makePermit(2);
			await settle();
			clock.advance(100);
			assert.is(await permit.hold(), undefined);
			clock.advance(5000);
			assert.is(await permit.hold(), undefined);
			assert.equal(counts, {left: 1, returned: 0});
		});

		it('takes another token for a request that has waited', async () => {
			// Guards against requests that wait for a target and are then sent at once with tokens of the past.
			const {clock, counts, permit} = makePermit(2);
			await settle();
			clock.advance(1000);
			assert.is(await permit.hold(), undefined);
			assert.equal(counts, {left: 0, returned: 1});
		});

		it('tells when to return after a refusal', async () => {
			const {permit} = makePermit(0);
			const refusal = await permit.hold();
			assert.is(refusal?.kind, 'account-rate-exceeded');
			assert.is(refusal?.ran, 'not-run');
			assert.is(refusal?.retryAfterMs, 70);
		});
	});

	describe('giveBack', () => {
		it('returns the token once', async () => {
			// Guards against an account that is charged for requests that were refused for other reasons, or paid twice.
			const {counts, permit} = makePermit(1);
			await permit.hold();
			permit.giveBack();
			permit.giveBack();
			await settle();
			assert.is(counts.returned, 1);
		});
	});
});

describe('pickWithPermit', () => {
	const {signal} = new AbortController();
	const released: boolean[] = [];
	const picked = {
		state: {
			registration: {id: makeId<TargetId>('i')},
			pool: {
				release(_connection: unknown, isReusable: boolean) {
					released.push(isReusable);
				},
			},
		},
	} as unknown as PickedTarget;

	it('returns the target of a request with a token', async () => {
		const {permit} = makePermit(1);
		const result = await pickWithPermit(permit, signal, async () => Ok(picked));
		assert.is(result.unwrap(), picked);
	});

	it('refuses at once while no target is found, and frees one that is found later', async () => {
		// Guards against a 429 that comes only when a target is free, and against a lost connection.
		const {permit} = makePermit(0);
		let isAborted = false;
		const result = await pickWithPermit(permit, signal, async (pickSignal) => {
			await settle();
			isAborted = pickSignal.aborted;
			return Ok(picked);
		});
		assert.is(result.unwrapErr().kind, 'account-rate-exceeded');
		await settle();
		await settle();
		assert.ok(isAborted);
		assert.equal(released, [false]);
	});

	it('passes on why no target was picked', async () => {
		const {permit} = makePermit(1);
		const failure = {
			kind: 'over-capacity',
			ran: 'not-run',
			detail: '',
		} as const;
		const result = await pickWithPermit(permit, signal, async () =>
			Err(failure),
		);
		assert.is(result.unwrapErr(), failure);
	});
});

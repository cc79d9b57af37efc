import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FreshnessGuard} from '../../src/snapshot/freshness-guard.js';

function makeFixture({readMs}: {readonly readMs: number}) {
	const clock = new ManualClock();
	const readsAtMs: number[] = [];
	const state = {dueMs: 500};
	const guard = new FreshnessGuard({
		clock,
		getDueMs: () => state.dueMs,
		getCheckDelayMs: () => 400,
		getReadDelayMs: () => 100,
		async read() {
			readsAtMs.push(clock.monotonicMs());
			await new Promise<void>((resolve) => {
				clock.schedule(readMs, resolve);
			});
			return true;
		},
	});
	const run = async (durationMs: number) => {
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
			clock.advance(10);
			await new Promise(setImmediate);
		}
	};

	return {guard, readsAtMs, state, run};
}

describe('FreshnessGuard', () => {
	it('reads when it is due', async () => {
		const {guard, readsAtMs, state, run} = makeFixture({readMs: 10});
		guard.start();
		await run(480);
		assert.equal(readsAtMs, []);
		await run(30);
		state.dueMs = 5000;
		await run(2000);
		assert.is(readsAtMs.length, 1);
		guard.stop();
	});

	it('notices that a read is due earlier than it was', async () => {
		const {guard, readsAtMs, state, run} = makeFixture({readMs: 10});
		state.dueMs = 60_000;
		guard.start();
		await run(300);
		state.dueMs = 350;
		await run(200);
		assert.ok(readsAtMs.length > 0);
		guard.stop();
	});

	it('pauses between reads that bring nothing', async () => {
		const {guard, readsAtMs, run} = makeFixture({readMs: 10});
		guard.start();
		await run(1500);
		assert.ok(readsAtMs.length > 5 && readsAtMs.length <= 10);
		guard.stop();
	});

	it('lets one read serve all who ask for one', async () => {
		const {guard, readsAtMs, run} = makeFixture({readMs: 200});
		const first = guard.read();
		const second = guard.read();
		await run(300);
		assert.equal(await Promise.all([first, second]), [true, true]);
		assert.is(readsAtMs.length, 1);
	});

	it('does not read after it was stopped', async () => {
		const {guard, readsAtMs, run} = makeFixture({readMs: 10});
		guard.start();
		guard.stop();
		await run(2000);
		assert.equal(readsAtMs, []);
	});
});

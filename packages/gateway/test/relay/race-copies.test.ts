import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	raceCopies,
	type Copy,
	type RaceResult,
} from '../../src/relay/race-copies.js';

type Runner = Copy<string> & {
	readonly end: (outcome: string) => void;
	isCancelled: boolean;
};

/** A copy that ends as the test says, or when it is cancelled. */
function makeRunner(): Runner {
	let end: Runner['end'] = () => undefined;
	const outcome = new Promise<string>((resolve) => {
		end = resolve;
	});
	const runner: Runner = {
		outcome,
		end,
		isCancelled: false,
		cancel() {
			runner.isCancelled = true;
			end('cancelled');
		},
	};
	return runner;
}

async function settle(): Promise<void> {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}

function startRace(hasSecond = true) {
	const clock = new ManualClock();
	const first = makeRunner();
	const second = makeRunner();
	const started: string[] = [];
	const results: Array<RaceResult<string>> = [];
	void (async () => {
		results.push(
			await raceCopies({
				clock,
				first,
				delayMs: 100,
				async startSecond(isOpen) {
					started.push(isOpen() ? 'open' : 'over');
					return hasSecond ? second : undefined;
				},
				isGood: (outcome) => outcome === 'good',
			}),
		);
	})();

	return {clock, first, second, started, results};
}

describe('raceCopies', () => {
	it('starts no second copy if the first has ended before', async () => {
		const {clock, first, started, results} = startRace();
		first.end('bad');
		await settle();
		clock.advance(200);
		await settle();
		assert.equal(started, []);
		assert.equal(results[0]?.outcomes, ['bad']);
		assert.is(results[0]?.winner, undefined);
	});

	it('lets the second copy win and cancels the first at once', async () => {
		const {clock, first, second, results} = startRace();
		clock.advance(100);
		await settle();
		second.end('good');
		await settle();
		assert.is(results[0]?.winner, 'second');
		assert.equal(results[0]?.outcomes, ['good']);
		assert.ok(first.isCancelled);
		assert.not(second.isCancelled);
	});

	it('lets the first copy win and cancels the second at once', async () => {
		const {clock, first, second, results} = startRace();
		clock.advance(100);
		await settle();
		first.end('good');
		await settle();
		assert.is(results[0]?.winner, 'first');
		assert.ok(second.isCancelled);
	});

	for (const failed of ['first', 'second'] as const) {
		it(`waits for the other copy if the ${failed} fails`, async () => {
			const {clock, results, ...copies} = startRace();
			const other = failed === 'first' ? 'second' : 'first';
			clock.advance(100);
			await settle();
			copies[failed].end('bad');
			await settle();
			assert.equal(results, []);
			copies[other].end('good');
			await settle();
			assert.is(results[0]?.winner, other);
		});
	}

	it('ends with both outcomes if both copies fail', async () => {
		const {clock, first, second, results} = startRace();
		clock.advance(100);
		await settle();
		second.end('worse');
		first.end('bad');
		await settle();
		assert.is(results[0]?.winner, undefined);
		assert.equal(results[0]?.outcomes.toSorted(), ['bad', 'worse']);
	});

	it('ends with the first copy if no second one is sent', async () => {
		const {clock, first, results} = startRace(false);
		clock.advance(100);
		await settle();
		first.end('bad');
		await settle();
		assert.equal(results[0]?.outcomes, ['bad']);
	});

	it('throws the error of a copy instead of leaving it unhandled, and cancels the other', async () => {
		const clock = new ManualClock();
		const second = makeRunner();
		let fail: (error: Error) => void = () => undefined;
		const outcome = new Promise<string>((_resolve, reject) => {
			fail = reject;
		});
		const race = raceCopies({
			clock,
			first: {outcome, cancel: () => undefined},
			delayMs: 100,
			startSecond: async () => second,
			isGood: () => true,
		});
		clock.advance(100);
		await settle();
		fail(new Error('broken'));
		try {
			await race;
			assert.unreachable('the race has ended without an error');
		} catch (error) {
			assert.is((error as Error).message, 'broken');
		}

		assert.ok(second.isCancelled);
	});

	it('ends with the first copy if it fails while a second one is being prepared, and cancels that one', async () => {
		const clock = new ManualClock();
		const first = makeRunner();
		const second = makeRunner();
		let finishPreparing: () => void = () => undefined;
		const prepared = new Promise<void>((resolve) => {
			finishPreparing = resolve;
		});
		const race = raceCopies<string>({
			clock,
			first,
			delayMs: 100,
			async startSecond() {
				await prepared;
				return second;
			},
			isGood: () => false,
		});
		clock.advance(100);
		first.end('bad');
		const {outcomes} = await race;
		assert.equal(outcomes, ['bad']);
		finishPreparing();
		await settle();
		assert.ok(second.isCancelled);
	});
});

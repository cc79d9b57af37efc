/** A time limit for a whole transfer cut the same one again and again, although it made progress. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ManualClock, ProgressLimit, TransferPatience} from '../../src/index.js';

const beginMs = 400;
const stepMs = 10;
/** The longest response that a reader takes. */
const maxBytes = 8_388_608;

type Transfer = {
	/** When it begins; undefined for never. */
	readonly beginsAtMs: number | undefined;
	/**
	 * Gets how many bytes have come.
	 *
	 * @param elapsedMs - The time since it began.
	 */
	readonly getBytes: (elapsedMs: number) => number;
	readonly length: number;
	readonly patience?: number;
};

/** Plays a transfer; returns when it was ended, or undefined if it was complete. */
function play({
	beginsAtMs,
	getBytes,
	length,
	patience,
}: Transfer): number | undefined {
	const clock = new ManualClock();
	let endedAtMs: number | undefined;
	const limit = new ProgressLimit({
		clock,
		beginMs,
		...(patience !== undefined && {patience}),
		onExpired() {
			endedAtMs = clock.monotonicMs();
		},
	});
	for (;;) {
		clock.advance(stepMs);
		const elapsedMs =
			clock.monotonicMs() - (beginsAtMs ?? Number.POSITIVE_INFINITY);
		if (endedAtMs !== undefined) {
			return endedAtMs;
		}

		if (elapsedMs === 0) {
			limit.begin();
		}

		const bytes = elapsedMs < 0 ? 0 : Math.floor(getBytes(elapsedMs));
		if (bytes > limit.receivedBytes) {
			limit.addBytes(bytes - limit.receivedBytes);
		}

		if (limit.receivedBytes >= length) {
			limit.stop();
			assert.is(clock.pendingCount, 0);
			return undefined;
		}
	}
}

describe('ProgressLimit', () => {
	describe('a transfer that makes progress', () => {
		function doTest(name: string, input: Transfer): void {
			it(`is not ended: ${name}`, () => {
				assert.is(play(input), undefined);
			});
		}

		for (const bytesPerSecond of [100_000, 875_000, 125_000_000]) {
			doTest(`the longest response at ${bytesPerSecond} bytes/s`, {
				beginsAtMs: 300,
				getBytes: (elapsedMs) => (elapsedMs / 1000) * bytesPerSecond,
				length: maxBytes,
			});
		}

		doTest('with a pause of a second', {
			beginsAtMs: 100,
			getBytes: (elapsedMs) =>
				elapsedMs < 1100 ? Math.min(elapsedMs * 1000, 100_000) : 200_000,
			length: 200_000,
		});
		doTest('with a pause of a second that a short piece ends', {
			beginsAtMs: 100,
			getBytes(elapsedMs) {
				if (elapsedMs < 1100) {
					return Math.min(elapsedMs * 1000, 100_000);
				}

				return elapsedMs < 1150 ? 100_500 : 200_000;
			},
			length: 200_000,
		});
		doTest('with an early pause of a second, after two failures', {
			beginsAtMs: 100,
			getBytes: (elapsedMs) => (elapsedMs < 1100 ? 2000 : 200_000),
			length: 200_000,
			patience: 4,
		});
	});

	describe('a transfer that makes none', () => {
		function doTest(name: string, input: Transfer, maxMs: number): void {
			it(`is ended soon: ${name}`, () => {
				const endedAtMs = play(input);
				assert.ok(
					endedAtMs !== undefined && endedAtMs <= maxMs,
					`${endedAtMs} ms`,
				);
			});
		}

		const length = maxBytes;
		doTest(
			'without a beginning',
			{beginsAtMs: undefined, getBytes: () => 0, length},
			beginMs + stepMs,
		);
		doTest(
			'single bytes',
			{beginsAtMs: 100, getBytes: (elapsedMs) => elapsedMs / 300, length},
			600,
		);
		doTest(
			'single bytes after many',
			{
				beginsAtMs: 100,
				getBytes: (elapsedMs) =>
					Math.min(elapsedMs * 100_000, 4_000_000) + elapsedMs / 300,
				length,
			},
			1000,
		);
		doTest(
			'silence after many bytes',
			{
				beginsAtMs: 100,
				getBytes: (elapsedMs) => Math.min(elapsedMs * 100_000, 4_000_000),
				length,
			},
			1700,
		);
	});
});

describe('ProgressLimit.hasProgressed', () => {
	function doTest(
		name: string,
		input: ReadonlyArray<readonly [waitMs: number, bytes: number]>,
		expected: boolean,
	): void {
		it(`is ${expected} for ${name}`, () => {
			const clock = new ManualClock();
			const limit = new ProgressLimit({
				clock,
				beginMs,
				onExpired: () => undefined,
			});
			limit.begin();
			for (const [waitMs, bytes] of input) {
				clock.advance(waitMs);
				limit.addBytes(bytes);
			}

			clock.advance(400);
			assert.is(limit.hasProgressed, expected);
		});
	}

	doTest('nothing', [], false);
	doTest(
		'single bytes',
		Array.from({length: 3}, () => [100, 1]),
		false,
	);
	doTest('a pause', [[10, 20_000]], true);
	doTest(
		'a pause after a short piece',
		[
			[10, 20_000],
			[10, 500],
		],
		true,
	);
	doTest(
		'single bytes after a sound beginning',
		[
			[10, 20_000],
			[300, 1],
		],
		false,
	);
	doTest(
		'a narrow link',
		Array.from({length: 40}, () => [10, 300]),
		true,
	);
});

describe('TransferPatience', () => {
	it('grows only with failures that made progress, to a limit', () => {
		const patience = new TransferPatience();
		patience.addFailure(false);
		patience.addFailure(false);
		assert.is(patience.factor, 1);
		for (let count = 0; count < 10; count++) {
			patience.addFailure(true);
		}

		assert.is(patience.factor, 8);
	});

	it('falls with each complete transfer', () => {
		const patience = new TransferPatience();
		patience.addFailure(true);
		patience.addFailure(true);
		patience.addSuccess();
		assert.is(patience.factor, 2);
		patience.addSuccess();
		patience.addSuccess();
		assert.is(patience.factor, 1);
	});
});

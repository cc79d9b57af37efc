/**
 * The load: a burst beyond what targets do in time whose last slot slows the
 * work that begins on it. Requests that wait at the host for a better slot
 * must serve more in time than requests that take the best target at once.
 */

import {makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {decideAcceptance} from '../../src/choice/acceptance.js';
import {getExpectedMs} from '../../src/choice/expected-time.js';

type Target = {endsAtMs: number[]};
type Request = {readonly receivedAtMs: number};

const slots = 4;
const lastSlotFactor = 1.7;
const workMs = 220;
const targetLatencyMs = 600;
const timeoutMs = 1200;
const stepMs = 5;
const burstMs = 6000;

/** Plays a burst and counts the answers that came in time. */
function countInTime(perSecond: number, mayWait: boolean): number {
	const random = makeSeededRandom(20_261);
	const targets: Target[] = Array.from({length: 5}, () => ({endsAtMs: []}));
	let waiting: Request[] = [];
	let inTime = 0;
	for (let nowMs = 0; nowMs < burstMs + timeoutMs; nowMs += stepMs) {
		for (const target of targets) {
			target.endsAtMs = target.endsAtMs.filter((endMs) => endMs > nowMs);
		}

		const isNew = nowMs < burstMs && random() < (perSecond * stepMs) / 1000;
		waiting = [...waiting, ...(isNew ? [{receivedAtMs: nowMs}] : [])];
		const still: Request[] = [];
		for (const request of waiting) {
			const best = targets.toSorted(
				(a, b) => a.endsAtMs.length - b.endsAtMs.length,
			)[0]!;
			const load = best.endsAtMs.length;
			const bestMs = getExpectedMs(
				{
					load,
					slots,
					slowness: 1,
					isHealthy: true,
					isCold: false,
					failureShare: 0,
					isNear: true,
				},
				{workMs, lastSlotFactor, isIdempotent: true},
			);
			const ageMs = nowMs - request.receivedAtMs;
			const decision = mayWait
				? decideAcceptance({
						ageMs,
						leftMs: timeoutMs - ageMs,
						targetLatencyMs,
						workMs,
						bestMs,
						hasFreeSlot: load < slots,
					})
				: 'take';
			if (decision === 'take') {
				const beginsAtMs =
					load < slots
						? nowMs
						: best.endsAtMs.toSorted((a, b) => a - b)[load - slots]!;
				const factor = load + 1 >= slots ? lastSlotFactor : 1;
				const endMs = beginsAtMs + workMs * factor * (0.7 + 0.6 * random());
				best.endsAtMs.push(endMs);
				inTime += endMs - request.receivedAtMs <= targetLatencyMs ? 1 : 0;
			} else if (decision === 'wait') {
				still.push(request);
			}
		}

		waiting = still;
	}

	return inTime;
}

describe('a burst on targets whose last slot is slow', () => {
	function doTest(name: string, perSecond: number, gain: number): void {
		it(name, () => {
			const atOnce = countInTime(perSecond, false);
			const waiting = countInTime(perSecond, true);
			assert.ok(waiting >= atOnce * gain, `${waiting} ${atOnce}`);
		});
	}

	doTest('loses nothing below the capacity', 40, 1);
	doTest('serves half as many again above it', 75, 1.5);
});

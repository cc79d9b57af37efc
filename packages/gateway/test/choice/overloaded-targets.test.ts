/**
 * Simulates a burst beyond the capacity of targets whose last slot slows the
 * requests that start on it. Waiting at the host for a better slot must complete
 * more requests on time than sending each to the best target immediately.
 */

import {makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {decideAdmission} from '../../src/choice/admission.js';
import {getExpectedLatencyMs} from '../../src/choice/target-cost.js';

type Target = {endsAtMs: number[]};
type Request = {readonly receivedAtMs: number};

const slots = 4;
const lastSlotFactor = 1.7;
const serviceTimeMs = 220;
const targetLatencyMs = 600;
const timeoutMs = 1200;
const stepMs = 5;
const burstMs = 6000;

/** Simulates a burst and counts the requests that complete within the latency target. */
function countOnTime(requestsPerSecond: number, canWait: boolean): number {
	const random = makeSeededRandom(20_261);
	const targets: Target[] = Array.from({length: 5}, () => ({endsAtMs: []}));
	let pending: Request[] = [];
	let onTimeCount = 0;
	for (let nowMs = 0; nowMs < burstMs + timeoutMs; nowMs += stepMs) {
		for (const target of targets) {
			target.endsAtMs = target.endsAtMs.filter((endMs) => endMs > nowMs);
		}

		const isNew =
			nowMs < burstMs && random() < (requestsPerSecond * stepMs) / 1000;
		pending = [...pending, ...(isNew ? [{receivedAtMs: nowMs}] : [])];
		const remaining: Request[] = [];
		for (const request of pending) {
			const best = targets.toSorted(
				(a, b) => a.endsAtMs.length - b.endsAtMs.length,
			)[0]!;
			const load = best.endsAtMs.length;
			const bestMs = getExpectedLatencyMs(
				{
					load,
					slots,
					slowdownFactor: 1,
					isHealthy: true,
					isCold: false,
					failureRate: 0,
					isNear: true,
				},
				{serviceTimeMs, lastSlotFactor, isIdempotent: true},
			);
			const ageMs = nowMs - request.receivedAtMs;
			const decision = canWait
				? decideAdmission({
						ageMs,
						remainingMs: timeoutMs - ageMs,
						targetLatencyMs,
						serviceTimeMs,
						bestLatencyMs: bestMs,
						hasFreeSlot: load < slots,
					})
				: 'take';
			if (decision === 'take') {
				const startMs =
					load < slots
						? nowMs
						: best.endsAtMs.toSorted((a, b) => a - b)[load - slots]!;
				const factor = load + 1 >= slots ? lastSlotFactor : 1;
				const endMs = startMs + serviceTimeMs * factor * (0.7 + 0.6 * random());
				best.endsAtMs.push(endMs);
				onTimeCount += endMs - request.receivedAtMs <= targetLatencyMs ? 1 : 0;
			} else if (decision === 'wait') {
				remaining.push(request);
			}
		}

		pending = remaining;
	}

	return onTimeCount;
}

describe('a burst on targets whose last slot is slow', () => {
	function doTest(
		name: string,
		requestsPerSecond: number,
		minGain: number,
	): void {
		it(name, () => {
			const withoutWaiting = countOnTime(requestsPerSecond, false);
			const withWaiting = countOnTime(requestsPerSecond, true);
			assert.ok(
				withWaiting >= withoutWaiting * minGain,
				`${withWaiting} ${withoutWaiting}`,
			);
		});
	}

	doTest('completes no fewer requests on time below capacity', 40, 1);
	doTest(
		'completes at least 1.5 times as many requests on time above capacity',
		75,
		1.5,
	);
});

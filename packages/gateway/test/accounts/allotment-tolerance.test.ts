import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	defaultAllotmentBound,
	fallbackLeaseMs,
	getFallbackLimit,
	getIsolatedShare,
	getLeaseMs,
	getTolerance,
} from '../../src/accounts/allotment-tolerance.js';

describe('allotment tolerance', () => {
	// Guards against causes of excess that are each within the tolerance but not together.
	for (const ratePerSecond of [1, 5, 60, 1000]) {
		it(`covers all causes together at a rate of ${ratePerSecond}`, () => {
			const limit = {planVersion: 1, ratePerSecond, burst: ratePerSecond};
			const bound = defaultAllotmentBound;
			const windowSeconds = bound.windowMs / 1000;
			const lateUse = (getLeaseMs(limit, bound) / 1000) * ratePerSecond;
			const fallbacks = [1, 2, 3, 4, 5, 6, 7, 8, 9].map((position) => {
				const fallback = getFallbackLimit(limit, bound, position);
				const seconds = windowSeconds + fallbackLeaseMs / 1000;
				return fallback.ratePerSecond * seconds + fallback.burst;
			});
			const isolated = 114 * getIsolatedShare(limit, bound, 114);
			const sum = [lateUse, isolated, ...fallbacks].reduce((a, b) => a + b);
			assert.ok(sum <= getTolerance(limit, bound), String(sum));
		});
	}
});

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ByteBudget, type ByteLease} from '../../src/buffers/byte-budget.js';

const limitBytes = 1_000_000;

type Step = {readonly request: string; readonly bytes: number | 'release'};

describe('ByteBudget', () => {
	it('is scarce while more than half of it is held', () => {
		const budget = new ByteBudget(limitBytes);
		const lease = budget.lease(() => undefined);
		lease.add(limitBytes / 2);
		assert.is(budget.isScarce, false);
		lease.add(1);
		assert.is(budget.isScarce, true);
		lease.release();
		assert.is(budget.isScarce, false);
	});

	describe('lease', () => {
		// Each response had a limit of its own, so that many together took all memory of the process.
		function doTest(
			name: string,
			steps: readonly Step[],
			expected: {readonly revoked: readonly string[]; readonly held: number},
		): void {
			it(name, () => {
				const budget = new ByteBudget(limitBytes);
				const leases = new Map<string, ByteLease>();
				const revoked: string[] = [];
				for (const {request, bytes} of steps) {
					const lease =
						leases.get(request) ??
						budget.lease(() => {
							revoked.push(request);
						});
					leases.set(request, lease);
					if (bytes === 'release') {
						lease.release();
					} else {
						lease.add(bytes);
					}
				}

				assert.equal(revoked, expected.revoked);
				assert.is(budget.heldBytes, expected.held);
				assert.is(budget.revokedCount, revoked.length);
			});
		}

		doTest(
			'revokes nothing up to the limit',
			[
				{request: 'a', bytes: 600_000},
				{request: 'b', bytes: 400_000},
			],
			{revoked: [], held: limitBytes},
		);
		doTest(
			'revokes the newest costly request, not a small one that comes after it',
			[
				{request: 'a', bytes: 500_000},
				{request: 'b', bytes: 499_000},
				{request: 'c', bytes: 2000},
			],
			{revoked: ['b'], held: 502_000},
		);
		doTest(
			'revokes the newest of small requests if there is no costly one',
			Array.from({length: 21}, (_, index) => ({
				request: `${index}`,
				bytes: 50_000,
			})),
			{revoked: ['20'], held: limitBytes},
		);
		doTest(
			'revokes a single request that holds too much',
			[{request: 'a', bytes: limitBytes + 1}],
			{revoked: ['a'], held: 0},
		);
		doTest(
			'counts neither what was released nor what a revoked request adds later',
			[
				{request: 'a', bytes: 900_000},
				{request: 'b', bytes: 200_000},
				{request: 'b', bytes: 200_000},
				{request: 'a', bytes: 'release'},
				{request: 'c', bytes: 700_000},
			],
			{revoked: ['b'], held: 700_000},
		);
		doTest(
			'lets a request hold less again',
			[
				{request: 'a', bytes: 900_000},
				{request: 'a', bytes: -800_000},
				{request: 'b', bytes: 900_000},
			],
			{revoked: [], held: limitBytes},
		);
	});
});

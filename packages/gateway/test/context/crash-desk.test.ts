import {makeId, ManualClock, type Digest} from '@bilberryscale/core';
import {CrashSuspects} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CrashDesk} from '../../src/context/crash-desk.js';
import type {CrashNotice} from '../../src/fleet/fleet-messages.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeListed, makeTestLog} from '../fixtures.js';

const signature = makeId<Digest>('s');

describe('CrashDesk', () => {
	describe('confirm', () => {
		function doTest(
			name: string,
			answer: (state: TargetState, nowMs: number) => void,
			expected: readonly CrashNotice[],
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const link = new ConnectionPool({
					clock,
					origin: 'http://127.0.0.1:9',
					localAddress: '127.0.0.1',
					getMaxSize: () => 2,
				});
				const state = new TargetState(makeListed('a'), link, 0);
				const told: CrashNotice[] = [];
				const desk = new CrashDesk({
					clock,
					log: makeTestLog(clock).log,
					suspects: new CrashSuspects(),
					ask(asked, onEnd) {
						answer(asked, clock.monotonicMs());
						onEnd();
					},
					tell(notice) {
						told.push(notice);
					},
				});
				desk.confirm(state, signature);
				clock.advance(1000);
				assert.equal(told, expected);
			});
		}

		doTest(
			'tells of a target that takes no connection',
			(state, nowMs) => {
				state.unreachableAtMs = nowMs;
			},
			[{life: makeListed('a').life, signature}],
		);
		doTest(
			'tells nothing of one that answers',
			(state, nowMs) => {
				state.lastContactAtMs = nowMs;
			},
			[],
		);
	});
});

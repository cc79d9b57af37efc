import {makeId, ManualClock, type Digest} from '@bilberryscale/core';
import {CrashSuspects} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CrashDetector} from '../../src/context/crash-detector.js';
import type {CrashNotice} from '../../src/fleet/gossip-message.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, makeTestLog} from '../fixtures.js';

const signature = makeId<Digest>('s');

describe('CrashDetector', () => {
	describe('confirmCrash', () => {
		function doTest(
			name: string,
			respond: (state: TargetState, nowMs: number) => void,
			expected: readonly CrashNotice[],
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const pool = new ConnectionPool({
					clock,
					origin: 'http://127.0.0.1:9',
					localAddress: '127.0.0.1',
					getMaxSize: () => 2,
				});
				const state = new TargetState({
					registration: makeRegisteredTarget('a'),
					pool,
					nowMs: 0,
				});
				const sentNotices: CrashNotice[] = [];
				const detector = new CrashDetector({
					clock,
					log: makeTestLog(clock).log,
					suspects: new CrashSuspects(),
					probe(probedState, onEnd) {
						respond(probedState, clock.monotonicMs());
						onEnd();
					},
					broadcast(notice) {
						sentNotices.push(notice);
					},
				});
				detector.confirmCrash(state, signature);
				clock.advance(1000);
				assert.equal(sentNotices, expected);
			});
		}

		doTest(
			'broadcasts the crash of a target that accepts no connection',
			(state, nowMs) => {
				state.unreachableAtMs = nowMs;
			},
			[{incarnation: makeRegisteredTarget('a').incarnation, signature}],
		);
		doTest(
			'broadcasts nothing if the target responds',
			(state, nowMs) => {
				state.lastContactAtMs = nowMs;
			},
			[],
		);
	});
});

import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {SilenceDetector} from '../../src/relay/silence-detector.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget} from '../fixtures.js';

function makeState(clock: ManualClock): TargetState {
	const pool = new ConnectionPool({
		clock,
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getMaxSize: () => 2,
	});
	return new TargetState({
		registration: makeRegisteredTarget('a'),
		pool,
		nowMs: 0,
	});
}

describe('SilenceDetector', () => {
	describe('watch', () => {
		function doTest(
			name: string,
			probe: (state: TargetState, clock: ManualClock) => void,
			expected: boolean,
			isPaused = false,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const state = makeState(clock);
				state.addContact(0);
				let isSilent = false;
				const detector = new SilenceDetector({
					clock,
					probe(probed) {
						probe(probed, clock);
					},
					isPaused: () => isPaused,
				});
				const stopWatching = detector.watch(state, () => {
					isSilent = true;
				});
				clock.advance(1000);
				stopWatching();
				assert.is(isSilent, expected);
				assert.is(clock.pendingCount, 0);
			});
		}

		doTest(
			'reports a target that leaves probes unanswered',
			(state) => {
				state.unansweredCount++;
			},
			true,
		);
		doTest(
			'reports nothing while paused',
			(state) => {
				state.unansweredCount++;
			},
			false,
			true,
		);
		doTest(
			'reports nothing for a target that answers probes',
			(state, clock) => {
				state.addContact(clock.monotonicMs());
			},
			false,
		);
		doTest(
			'reports nothing for a target that refuses connections',
			(state, clock) => {
				state.unreachableAtMs = clock.monotonicMs();
			},
			false,
		);
	});
});

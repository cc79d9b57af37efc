import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {SilenceWatch} from '../../src/relay/silence-watch.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeListed} from '../fixtures.js';

function makeState(clock: ManualClock): TargetState {
	const link = new ConnectionPool({
		clock,
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getMaxSize: () => 2,
	});
	return new TargetState(makeListed('a'), link, 0);
}

describe('SilenceWatch', () => {
	describe('watch', () => {
		function doTest(
			name: string,
			ask: (state: TargetState, clock: ManualClock) => void,
			expected: boolean,
			isPaused = false,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const state = makeState(clock);
				state.addContact(0);
				let isSilent = false;
				const watch = new SilenceWatch({
					clock,
					ask(asked) {
						ask(asked, clock);
					},
					isPaused: () => isPaused,
				});
				const end = watch.watch(state, () => {
					isSilent = true;
				});
				clock.advance(1000);
				end();
				assert.is(isSilent, expected);
				assert.is(clock.pendingCount, 0);
			});
		}

		doTest(
			'ends requests at a target that leaves questions unanswered',
			(state) => {
				state.unansweredCount++;
			},
			true,
		);
		doTest(
			'ends nothing while the host leaves',
			(state) => {
				state.unansweredCount++;
			},
			false,
			true,
		);
		doTest(
			'leaves requests alone at a target that answers questions',
			(state, clock) => {
				state.addContact(clock.monotonicMs());
			},
			false,
		);
		doTest(
			'does not take a refused connection for silence',
			(state, clock) => {
				state.unreachableAtMs = clock.monotonicMs();
			},
			false,
		);
	});
});

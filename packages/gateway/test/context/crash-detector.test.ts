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
const brokenAtMs = 500;

type Outcome = 'responds' | 'unreachable';

function makeState(id: string, clock: ManualClock): TargetState {
	const pool = new ConnectionPool({
		clock,
		origin: 'http://127.0.0.1:9',
		localAddress: '127.0.0.1',
		getMaxSize: () => 2,
	});
	const registration = makeRegisteredTarget(id);
	return new TargetState({registration, pool, nowMs: 0});
}

describe('CrashDetector', () => {
	describe('confirmCrash', () => {
		/** The outcomes are those of the probes of the target and of the other targets. */
		function doTest(
			name: string,
			input: {readonly target: Outcome; readonly others: readonly Outcome[]},
			expected: readonly CrashNotice[],
		): void {
			it(name, () => {
				const clock = new ManualClock();
				clock.advance(brokenAtMs);
				const state = makeState('a', clock);
				const others = input.others.map((_, index) =>
					makeState(`other-${index}`, clock),
				);
				const outcomes = new Map([
					[state, input.target],
					...input.others.map(
						(outcome, index) => [others[index]!, outcome] as const,
					),
				]);
				const sentNotices: CrashNotice[] = [];
				let confirmedCount = 0;
				const detector = new CrashDetector({
					clock,
					log: makeTestLog(clock).log,
					suspects: new CrashSuspects(),
					probe(probed, onEnd) {
						if (outcomes.get(probed) === 'responds') {
							probed.addContact(clock.monotonicMs());
						} else {
							probed.addUnreachable(clock.monotonicMs());
						}

						onEnd();
					},
					getOtherTargets: () => others,
					broadcast(notice) {
						sentNotices.push(notice);
					},
				});
				detector.confirmCrash(state, signature, () => {
					confirmedCount++;
				});
				clock.advance(1000);
				assert.equal(sentNotices, expected);
				assert.is(confirmedCount, expected.length);
			});
		}

		const notice = {
			incarnation: makeRegisteredTarget('a').incarnation,
			signature,
			ageMs: 0,
		};
		doTest(
			'broadcasts the crash of a target that accepts no connection while others respond',
			{target: 'unreachable', others: ['responds', 'responds']},
			[notice],
		);
		doTest(
			'broadcasts the crash if one of the others has crashed too',
			{target: 'unreachable', others: ['unreachable', 'responds']},
			[notice],
		);
		doTest(
			'broadcasts the crash of the only target',
			{target: 'unreachable', others: []},
			[notice],
		);
		doTest(
			'broadcasts nothing if the target responds',
			{target: 'responds', others: ['responds', 'responds']},
			[],
		);
		// Guards against a host without links that has the fleet block requests which crashed no target.
		doTest(
			'broadcasts nothing if no target can be reached',
			{target: 'unreachable', others: ['unreachable', 'unreachable']},
			[],
		);
	});

	describe('getNotices', () => {
		function makeDetector(clock: ManualClock, suspects: CrashSuspects) {
			return new CrashDetector({
				clock,
				log: makeTestLog(clock).log,
				suspects,
				probe: () => undefined,
				getOtherTargets: () => [],
				broadcast: () => undefined,
			});
		}

		// Guards against hosts that after a restart send a request again which has crashed targets before.
		it('lets a host that has started block what others block, for no longer than they do', () => {
			const clock = new ManualClock();
			const detector = makeDetector(clock, new CrashSuspects());
			for (const id of ['a', 'b']) {
				const {incarnation} = makeRegisteredTarget(id);
				detector.addNotice({signature, incarnation, ageMs: 0});
			}

			clock.advance(200_000);
			const suspects = new CrashSuspects();
			const started = makeDetector(clock, suspects);
			for (const notice of detector.getNotices()) {
				started.addNotice(notice);
			}

			assert.ok(suspects.isBlocked(signature, clock.monotonicMs()));
			clock.advance(100_000);
			assert.not.ok(suspects.isBlocked(signature, clock.monotonicMs()));
		});

		it('gets a bounded number of notices', () => {
			const clock = new ManualClock();
			const detector = makeDetector(clock, new CrashSuspects());
			for (let index = 0; index < 500; index++) {
				detector.addNotice({
					signature: makeId<Digest>(`s${index}`),
					incarnation: makeRegisteredTarget('a').incarnation,
					ageMs: 0,
				});
			}

			assert.is(detector.getNotices().length, 40);
			assert.is(detector.getNotices().at(-1)?.signature, 's499');
		});
	});
});

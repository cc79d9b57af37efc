import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ReadSchedule} from '../../src/upstream/read-schedule.js';

/** Runs connections that always have more to read, each read taking a time; returns who has read in each turn. */
function runTurns(
	readMs: Readonly<Record<string, number>>,
	turnCount: number,
): readonly string[] {
	const clock = new ManualClock();
	const actions: Array<() => void> = [];
	const schedule = new ReadSchedule({
		clock,
		afterEvents(action) {
			actions.push(action);
		},
	});
	let turn = '';
	const startReading = (name: string, durationMs: number) => {
		const read = () => {
			turn += name;
			clock.advance(durationMs);
			schedule.add(read);
		};

		schedule.add(read);
	};

	for (const [name, durationMs] of Object.entries(readMs)) {
		startReading(name, durationMs);
	}

	const turns: string[] = [];
	while (turns.length < turnCount) {
		turn = '';
		for (const action of actions.splice(0)) {
			action();
		}

		turns.push(turn);
	}

	return turns;
}

describe('ReadSchedule', () => {
	describe('add', () => {
		function doTest(
			name: string,
			input: Readonly<Record<string, number>>,
			expected: readonly string[],
		): void {
			it(name, () => {
				assert.equal(runTurns(input, expected.length), expected);
			});
		}

		doTest('gives each connection one read in a turn', {a: 0.1, b: 0.1}, [
			'ab',
			'ab',
		]);
		doTest(
			'ends a turn when its time is used up, and goes on with the next connection',
			{a: 0.25, b: 0.25, c: 0.25},
			['ab', 'ca', 'bc'],
		);
		doTest('gives one read a turn to a slow connection', {a: 5}, ['a', 'a']);
		doTest('lets a slow connection not starve others', {a: 5, b: 0.1}, [
			'a',
			'ba',
			'ba',
		]);
	});
});

import {makeSeededRandom, ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ReturnSchedules} from '../../src/capacity/return-schedules.js';
import {EventLog} from '../../src/records/event-log.js';
import {reading} from '../fixtures.js';

const refused = {
	requestId: 'r-1',
	service: reading,
	rank: 0,
	remainingMs: 3000,
	serviceTimeMs: 100,
};

function makeSchedules(hasPriorityClasses: () => boolean) {
	const clock = new ManualClock();
	const lines: Array<Record<string, unknown>> = [];
	const counted: string[] = [];
	const schedules = new ReturnSchedules({
		clock,
		random: makeSeededRandom(1),
		log: new EventLog({
			clock,
			origin: {},
			writeLine(line) {
				lines.push(JSON.parse(line) as Record<string, unknown>);
			},
		}),
		metrics: {
			recordReturnTime(service, priority, result) {
				counted.push(`${service} ${priority} ${result}`);
			},
		},
		hasPriorityClasses,
	});
	return {clock, schedules, lines, counted};
}

describe('ReturnSchedules', () => {
	it('leaves services without priority classes to the fixed share', () => {
		const {schedules, lines, counted} = makeSchedules(() => false);
		schedules.addArrival({service: reading, priority: 0, isReturning: false});
		schedules.addDeparture(reading);
		assert.is(schedules.book(refused), undefined);
		assert.equal([lines, counted], [[], []]);
	});

	it('records each promise under the id of the request', () => {
		const {clock, schedules, lines, counted} = makeSchedules(() => true);
		for (let index = 0; index < 100; index++) {
			clock.advance(20);
			schedules.addArrival({service: reading, priority: 0, isReturning: false});
			schedules.addDeparture(reading);
		}

		const time = schedules.book(refused);
		assert.is(time?.kind, 'slot');
		assert.equal(counted, [`${reading} 0 slot`]);
		assert.is(lines[0]!.message, 'return time promised');
		assert.is(lines[0]!.requestId, 'r-1');
	});

	it('starts with an empty schedule when a plan brings the classes back', () => {
		let hasClasses = true;
		const {clock, schedules} = makeSchedules(() => hasClasses);
		for (let index = 0; index < 100; index++) {
			clock.advance(20);
			schedules.addDeparture(reading);
		}

		hasClasses = false;
		schedules.addDeparture(reading);
		hasClasses = true;
		assert.is(schedules.book(refused)?.kind, 'unmeasured');
	});
});

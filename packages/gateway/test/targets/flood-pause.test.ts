import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FloodPause} from '../../src/targets/flood-pause.js';

describe('FloodPause', () => {
	describe('addFlood', () => {
		it('pauses longer after each flood, up to half a minute', () => {
			const pause = new FloodPause();
			const pauses: Array<number | undefined> = [];
			let nowMs = 0;
			for (let count = 0; count < 11; count++) {
				pauses.push(pause.addFlood(nowMs));
				nowMs = pause.untilMs;
			}

			assert.equal(
				pauses,
				[100, 200, 400, 800, 1600, 3200, 6400, 12_800, 25_600, 30_000, 30_000],
			);
		});

		it('counts floods of open requests during a pause as one', () => {
			const pause = new FloodPause();
			pause.addFlood(0);
			assert.is(pause.addFlood(99), undefined);
			assert.is(pause.untilMs, 100);
			assert.is(pause.addFlood(100), 200);
		});
	});

	describe('addResponse', () => {
		it('halves the next pause, down to the first', () => {
			const pause = new FloodPause();
			pause.addFlood(0);
			pause.addFlood(100);
			pause.addResponse();
			assert.is(pause.addFlood(300), 200);
			for (let count = 0; count < 5; count++) {
				pause.addResponse();
			}

			assert.is(pause.addFlood(500), 100);
		});
	});
});

import {ManualClock} from '@bilberryscale/core';
import type {FleetView} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FleetViewPoller} from '../../src/dispatch/fleet-view-poller.js';

describe('FleetViewPoller', () => {
	it('reports each change once, and none after stop', () => {
		const clock = new ManualClock();
		const reported: FleetView[] = [];
		let view: FleetView | undefined;
		const poller = new FleetViewPoller({
			clock,
			getView: () => view,
			onChange(changed) {
				reported.push(changed);
			},
		});
		poller.start();
		const views = [{size: 3, rank: 1}, {size: 3, rank: 1}, undefined];
		for (const next of [...views, {size: 3, rank: 2}]) {
			view = next;
			clock.advance(500);
		}

		poller.stop();
		view = {size: 1, rank: 0};
		clock.advance(5000);
		assert.equal(reported, [
			{size: 3, rank: 1},
			{size: 3, rank: 2},
		]);
	});
});

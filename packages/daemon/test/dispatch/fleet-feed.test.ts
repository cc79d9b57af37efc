/** The feed of the fleet's size. */

import {ManualClock} from '@bilberryscale/core';
import type {FleetView} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FleetFeed} from '../../src/dispatch/fleet-feed.js';

describe('FleetFeed', () => {
	it('passes on each change once, and nothing after its end', () => {
		const clock = new ManualClock();
		const seen: FleetView[] = [];
		let view: FleetView | undefined;
		const feed = new FleetFeed({
			clock,
			getView: () => view,
			onChange(changed) {
				seen.push(changed);
			},
		});
		feed.start();
		const views = [{size: 3, rank: 1}, {size: 3, rank: 1}, undefined];
		for (const next of [...views, {size: 3, rank: 2}]) {
			view = next;
			clock.advance(500);
		}

		feed.stop();
		view = {size: 1, rank: 0};
		clock.advance(5000);
		assert.equal(seen, [
			{size: 3, rank: 1},
			{size: 3, rank: 2},
		]);
	});
});

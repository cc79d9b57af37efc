/** Guards against a flow that gains turns by pausing, or loses them by waiting. */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {StartTags} from '../../src/dispatch/start-tags.js';

describe('StartTags', () => {
	it('raises the tag of a served flow by the inverse of its weight', () => {
		const tags = new StartTags<string>();
		tags.activate('a');
		tags.charge('a', 2);
		assert.is(tags.get('a'), 0.5);
	});

	it('gives a flow that has paused no credit', () => {
		const tags = new StartTags<string>();
		tags.activate('a');
		tags.activate('b');
		for (let count = 0; count < 10; count++) {
			tags.charge('a');
		}

		tags.activate('b');
		assert.is(tags.get('b'), 9);
	});

	it('keeps the tag of a flow that waits', () => {
		const tags = new StartTags<string>();
		tags.activate('a');
		tags.activate('b');
		tags.charge('a');
		tags.charge('a');
		assert.is(tags.get('b'), 0);
	});

	it('forgets idle flows, of which there may be many', () => {
		const tags = new StartTags<number>();
		for (let flow = 1; flow < 1000; flow++) {
			tags.activate(flow);
			tags.charge(flow);
		}

		tags.activate(0);
		for (let count = 0; count < 5; count++) {
			tags.charge(0);
		}

		assert.is(tags.get(1), 1);
		tags.activate(1001);
		assert.is(tags.get(1), 4);
	});
});

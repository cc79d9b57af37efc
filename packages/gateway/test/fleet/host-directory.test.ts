import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {HostDirectory} from '../../src/fleet/host-directory.js';

const self = '10.0.0.1';
const others = ['10.0.0.2', '10.0.0.3', '10.0.0.4', '10.0.0.5'];

/** Makes a directory that knows all hosts and then hears only of some for a time. */
function makeDirectory(heard: readonly string[], durationMs: number) {
	const clock = new ManualClock();
	const directory = new HostDirectory({clock, self, getPeers: () => []});
	for (const address of others) {
		directory.add(address);
	}

	for (let passedMs = 0; passedMs < durationMs; passedMs += 10_000) {
		clock.advance(10_000);
		for (const address of heard) {
			directory.add(address);
		}

		directory.getHosts();
	}

	return directory;
}

describe('HostDirectory', () => {
	describe('after ten minutes', () => {
		function doTest(
			name: string,
			input: readonly string[],
			expected: {
				readonly hostCount: number;
				readonly hasMajority: boolean;
			},
		): void {
			it(name, () => {
				const directory = makeDirectory(input, 600_000);
				assert.equal(
					{
						hostCount: directory.getHosts().length,
						hasMajority: directory.hasMajority,
					},
					expected,
				);
			});
		}

		doTest('has forgotten hosts that left while most are up', others.slice(2), {
			hostCount: 2,
			hasMajority: true,
		});
		// Guards against a host that is cut off and takes itself for the whole fleet.
		doTest(
			'remembers all hosts on the smaller side of a partition',
			['10.0.0.2'],
			{
				hostCount: 4,
				hasMajority: false,
			},
		);
	});

	it('notices that it is on the smaller side before the larger side forgets it', () => {
		assert.is(makeDirectory(['10.0.0.2'], 150_000).hasMajority, true);
		assert.is(makeDirectory(['10.0.0.2'], 160_000).hasMajority, false);
	});
});

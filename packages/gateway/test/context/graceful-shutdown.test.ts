import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {GracefulShutdown} from '../../src/context/graceful-shutdown.js';
import {makeTestLog} from '../fixtures.js';

const shutdownMs = 6000;
const stepMs = 10;

describe('GracefulShutdown', () => {
	describe('run', () => {
		// Guards against requests that are ended although their answers had arrived while the process was blocked.
		it('handles what arrived during a blockage before it ends open requests', async () => {
			const clock = new ManualClock();
			let isOpen = true;
			const endedOpen: boolean[] = [];
			const shutdown = new GracefulShutdown({
				clock,
				log: makeTestLog(clock).log,
				getServers: () => [
					{
						close: () => undefined,
						endRequests() {
							endedOpen.push(isOpen);
						},
						getConnectionCount: () => (isOpen ? 1 : 0),
						getOpenRequests: () => [],
						refuseLateRequests: () => [],
					},
				],
				getRunningCount: () => (isOpen ? 1 : 0),
			});
			const ended = shutdown.run(shutdownMs);
			while (clock.monotonicMs() < 5600) {
				clock.advance(stepMs);
				await new Promise(setImmediate);
			}

			setImmediate(() => {
				isOpen = false;
			});
			clock.advance(200);
			await new Promise(setImmediate);
			while (clock.monotonicMs() < shutdownMs) {
				clock.advance(stepMs);
				await new Promise(setImmediate);
			}

			await ended;
			assert.equal(endedOpen, [false]);
		});
	});
});

import {makeId, ManualClock, type RequestId} from '@bilberryscale/core';
import type {OpenRequest} from '@bilberryscale/daemon/edge';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {GracefulShutdown} from '../../src/context/graceful-shutdown.js';
import {EventLog} from '../../src/records/event-log.js';
import {makeTestLog} from '../fixtures.js';

const shutdownMs = 6000;
const stepMs = 10;
/** Turns of the event loop within one step of the clock. */
const eventTurns = 5;
const requestId = makeId<RequestId>('r');

/** Lets pending events and what waits for them run, without time passing. */
async function settle(): Promise<void> {
	for (let turn = 0; turn < eventTurns; turn++) {
		await new Promise(setImmediate);
	}
}

/** Runs a shutdown during which a request gets no answer, and gets what the log says of it when it is ended. */
async function runShutdown(
	request: Omit<OpenRequest, 'requestId'>,
): Promise<unknown> {
	const clock = new ManualClock();
	const lines: Array<Record<string, unknown>> = [];
	const shutdown = new GracefulShutdown({
		clock,
		log: new EventLog({
			clock,
			origin: {},
			writeLine(line) {
				lines.push(JSON.parse(line) as Record<string, unknown>);
			},
		}),
		getServers: () => [
			{
				close: () => undefined,
				endRequests: () => undefined,
				getConnectionCount: () => 1,
				getOpenRequests: () => [{requestId, ...request}],
				refuseLateRequests: () => [],
			},
		],
		getRunningCount: () => 1,
	});
	const ended = shutdown.run(shutdownMs);
	for (let ms = 0; ms < shutdownMs; ms += stepMs) {
		clock.advance(stepMs);
		await settle();
	}

	await ended;
	return lines.find(({message}) => message === 'requests ended by the shutdown')
		?.requests;
}

describe('GracefulShutdown', () => {
	describe('a request that it ends', () => {
		function doTest(
			name: string,
			input: Omit<OpenRequest, 'requestId'>,
			expected: Readonly<Record<string, unknown>>,
		): void {
			it(name, async () => {
				assert.equal(await runShutdown(input), [{requestId, ...expected}]);
			});
		}

		doTest(
			'is named with its target and the time that was expected',
			{
				receivedAtMs: 1000,
				phase: 'sent',
				lastCopy: {to: 'i-1', expectedMs: 300.4, writtenAtMs: 3000},
				expectedMs: 300.4,
			},
			{
				phase: 'sent',
				ageMs: 4700,
				waitedMs: 2000,
				sentTo: 'i-1',
				sentAgoMs: 2700,
				expectedMs: 300,
			},
		);
		doTest(
			'is named with its target while the connection opens',
			{
				receivedAtMs: 1000,
				phase: 'sent',
				lastCopy: {to: 'i-1', expectedMs: 300},
				expectedMs: 300,
			},
			{
				phase: 'sent',
				ageMs: 4700,
				waitedMs: 4700,
				sentTo: 'i-1',
				expectedMs: 300,
			},
		);
		doTest(
			'is named without a target if it has none',
			{receivedAtMs: 1000, phase: 'waiting'},
			{phase: 'waiting', ageMs: 4700, waitedMs: 4700},
		);
	});

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

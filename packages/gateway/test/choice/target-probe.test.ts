/**
 * A new connection to a target whose slots are all in use waits for a slot, so
 * a probe on it gets its response late. Counting the target as silent would abort the
 * requests that it is running.
 */

import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TargetProbe} from '../../src/choice/target-probe.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, makeTestLog, testProtocol} from '../fixtures.js';

const ok = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
/** Longer than the probe timeout of a used connection, shorter than that of a new one. */
const waitMs = 300;

/** Probes a target twice that stops responding after a number of requests. */
async function probeTwice(
	responseCount: number,
	isNewConnection: boolean,
	hasFreeSlots: boolean,
): Promise<TargetState> {
	let remaining = responseCount;
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			remaining--;
			if (remaining >= 0) {
				socket.write(ok);
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const pool = new ConnectionPool({
		clock: systemClock,
		origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		localAddress: '127.0.0.1',
		getMaxSize: () => 4,
	});
	const state = new TargetState({
		registration: makeRegisteredTarget('a'),
		pool,
		nowMs: 0,
	});
	const options = {
		state,
		healthPath: '/',
		protocol: testProtocol,
		clock: systemClock,
		log: makeTestLog(systemClock).log,
		onNotice: () => undefined,
		onEnd: () => undefined,
	};
	new TargetProbe(options).start();
	await sleep(100);
	if (isNewConnection) {
		pool.closeIdle();
	}

	if (hasFreeSlots) {
		// The report is outdated: other requests may have taken the slots since.
		state.addReport({...state.health!, running: 0});
	}

	new TargetProbe(options).start();
	await sleep(waitMs);
	pool.close();
	server.close();
	return state;
}

describe('TargetProbe', () => {
	describe('a probe without a response', () => {
		function doTest(
			name: string,
			input: {
				readonly isNewConnection: boolean;
				readonly hasFreeSlots: boolean;
			},
			expected: number,
		): void {
			it(name, async () => {
				const state = await probeTwice(
					1,
					input.isNewConnection,
					input.hasFreeSlots,
				);
				assert.is(state.load, input.hasFreeSlots ? 0 : state.slots);
				assert.is(state.unansweredCount, expected);
			});
		}

		doTest(
			'counts as unanswered on a connection that has carried a response before',
			{isNewConnection: false, hasFreeSlots: false},
			1,
		);
		doTest(
			'may wait for a slot on a new connection',
			{isNewConnection: true, hasFreeSlots: false},
			0,
		);
		doTest(
			'may wait for a slot that was taken since the last report',
			{isNewConnection: true, hasFreeSlots: true},
			0,
		);
	});
});

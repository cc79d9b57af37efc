/**
 * The load: targets with all slots in use, where a new connection waits for a
 * slot. They must not count as silent, or requests under way there are cut.
 */

import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TargetInquiry} from '../../src/choice/target-inquiry.js';
import {TargetLink} from '../../src/targets/target-link.js';
import type {TargetProtocol} from '../../src/targets/target-protocol.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, makeTestLog} from '../fixtures.js';

const ok = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
/** Longer than a known connection has, shorter than a new one. */
const pauseMs = 300;

const protocol: TargetProtocol = {
	requestIdHeader: 'id',
	deadlineHeader: 'deadline',
	getExpectation: () => ['expect', 'a'],
	isNotRun: () => false,
	isSealed: () => true,
	readLoad: () => undefined,
	readHealth: (_status, _headers, {id, slots}, nowMs) => ({
		receivedAtMs: nowMs,
		running: slots,
		waiting: 0,
		slots,
		slowness: 1,
		isHealthy: true,
		coldMs: 0,
		answeredBy: id,
	}),
};

/** Asks a target that answers so many questions and is quiet after them. */
async function ask(
	answers: number,
	isNew: boolean,
	hasRoom: boolean,
): Promise<TargetState> {
	let left = answers;
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			left--;
			if (left >= 0) {
				socket.write(ok);
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const link = new TargetLink({
		clock: systemClock,
		origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		localAddress: '127.0.0.1',
		getLimit: () => 4,
	});
	const state = new TargetState(makeRegisteredTarget('a'), link, 0);
	const options = {
		state,
		healthPath: '/',
		protocol,
		clock: systemClock,
		log: makeTestLog(systemClock).log,
		onEnd: () => undefined,
	};
	new TargetInquiry(options).start();
	await sleep(100);
	if (isNew) {
		link.dropIdle();
	}

	if (hasRoom) {
		// The last report is old: others may have filled the slots since.
		state.addReport({...state.health!, running: 0});
	}

	new TargetInquiry(options).start();
	await sleep(pauseMs);
	link.close();
	server.close();
	return state;
}

describe('TargetInquiry', () => {
	describe('a question without an answer', () => {
		function doTest(
			name: string,
			input: {readonly isNew: boolean; readonly hasRoom: boolean},
			expected: number,
		): void {
			it(name, async () => {
				const state = await ask(1, input.isNew, input.hasRoom);
				assert.is(state.load, input.hasRoom ? 0 : state.slots);
				assert.is(state.unansweredCount, expected);
			});
		}

		doTest(
			'is silence on a connection that has answered before',
			{isNew: false, hasRoom: false},
			1,
		);
		doTest(
			'may wait for a slot on a new connection',
			{isNew: true, hasRoom: false},
			0,
		);
		doTest(
			'may wait for a slot that others took since the last report',
			{isNew: true, hasRoom: true},
			0,
		);
	});
});

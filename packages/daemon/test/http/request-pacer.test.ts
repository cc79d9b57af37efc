/** A caller that sends bytes without end takes the time of the event loop from all other callers. */

import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RequestPacer} from '../../src/http/request-pacer.js';
import {ReadSchedule} from '../../src/upstream/read-schedule.js';

const head = 'GET / HTTP/1.1\r\n\r\n';

/** Stands for a connection on which some bytes have arrived. */
// Sockets are emitters.
// eslint-disable-next-line unicorn/prefer-event-target
class ArrivedBytes extends EventEmitter {
	destroyed = false;
	#bytes: Buffer;

	constructor(bytes: Buffer) {
		super();
		this.#bytes = bytes;
	}

	get readableLength(): number {
		return this.#bytes.length;
	}

	read(size?: number): Buffer | null {
		const bytes = this.#bytes.subarray(0, size);
		this.#bytes = this.#bytes.subarray(bytes.length);
		return bytes.length > 0 ? bytes : null;
	}

	unshift(bytes: Buffer): void {
		this.#bytes = Buffer.concat([bytes, this.#bytes]);
	}

	pause(): this {
		return this;
	}

	resume(): this {
		return this;
	}
}

/** Lets bytes arrive and runs turns; returns how many bytes were parsed at once and in each turn. */
function runTurns(
	length: number,
	turnCount: number,
	options: {readonly parseMs?: number; readonly pausesAfter?: number} = {},
): readonly number[] {
	const {parseMs = 0, pausesAfter = Number.POSITIVE_INFINITY} = options;
	const clock = new ManualClock();
	const actions: Array<() => void> = [];
	const schedule = new ReadSchedule({
		clock,
		afterEvents(action) {
			actions.push(action);
		},
	});
	const socket = new ArrivedBytes(Buffer.alloc(length));
	let parsed = 0;
	socket.on('data', (bytes: Buffer) => {
		parsed += bytes.length;
		clock.advance(parseMs);
		if (parsed >= pausesAfter) {
			socket.pause();
		}
	});
	const pacer = new RequestPacer(socket as unknown as Socket, {schedule});
	assert.ok(pacer);
	socket.emit('readable');
	const counts = [parsed];
	for (let turn = 0; turn < turnCount; turn++) {
		const before = parsed;
		for (const action of actions.splice(0)) {
			action();
		}

		counts.push(parsed - before);
	}

	return counts;
}

describe('RequestPacer', () => {
	it('parses a small request at once', () => {
		assert.equal(runTurns(600, 1), [600, 0]);
	});

	it('parses the rest of a long one in turn, in larger slices while they take no time', () => {
		assert.equal(runTurns(6000, 3), [1024, 1024, 2048, 1904]);
	});

	it('parses smaller slices while they take long', () => {
		assert.equal(runTurns(6000, 4, {parseMs: 2}), [1024, 1024, 512, 256, 256]);
	});

	it('stops while the server has paused the connection', () => {
		assert.equal(runTurns(6000, 3, {pausesAfter: 2000}), [1024, 1024, 0, 0]);
	});

	// All requests that had arrived were handled at once, and others waited.
	it('works on a limited number of requests, whose ends let it parse more', () => {
		const socket = new ArrivedBytes(Buffer.from(head.repeat(5)));
		const actions: Array<() => void> = [];
		const schedule = new ReadSchedule({
			clock: new ManualClock(),
			afterEvents(action) {
				actions.push(action);
			},
		});
		const closeResponses: Array<() => void> = [];
		socket.on('data', (bytes: Buffer) => {
			assert.is(bytes.toString(), head);
			const response = {
				once(_event: string, listener: () => void) {
					closeResponses.push(listener);
				},
			};
			pacer.addRequest(
				{complete: true} as IncomingMessage,
				response as unknown as ServerResponse,
			);
		});
		const pacer = new RequestPacer(socket as unknown as Socket, {
			schedule,
			maxOpenRequests: 2,
		});
		socket.emit('readable');
		assert.is(closeResponses.length, 2);
		closeResponses[0]!();
		actions.shift()!();
		assert.is(closeResponses.length, 3);
		assert.is(actions.length, 0);
	});
});

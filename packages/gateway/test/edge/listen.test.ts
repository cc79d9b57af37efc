import {createServer, type Server} from 'node:net';
import {ManualClock} from '@bilberryscale/core';
import {describe, getFreePorts, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {listenOn, listenWhenFree} from '../../src/edge/listen.js';

const address = '127.0.0.1';
const stepMs = 50;
const steps = 220;

function makeError(code: string): Error {
	return Object.assign(new Error(code), {code});
}

async function close(server: Server): Promise<void> {
	await new Promise((resolve) => {
		server.close(resolve);
	});
}

describe('listenWhenFree', () => {
	function doTest(
		name: string,
		input: {readonly code: string; readonly untilMs: number},
		expected: {readonly outcome: string; readonly reports: readonly string[]},
	): void {
		it(name, async () => {
			const clock = new ManualClock();
			const reports: string[] = [];
			let outcome: string | undefined;
			const waiting = (async () => {
				try {
					await listenWhenFree(
						async () => {
							if (clock.monotonicMs() < input.untilMs) {
								throw makeError(input.code);
							}
						},
						{
							clock,
							onPortInUse(detail) {
								reports.push(detail);
							},
						},
					);
					outcome = `listens at ${clock.monotonicMs()}`;
				} catch (error) {
					outcome = `${(error as Error).message} at ${clock.monotonicMs()}`;
				}
			})();
			for (let step = 0; step < steps; step++) {
				clock.advance(stepMs);
				await new Promise((resolve) => {
					setImmediate(resolve);
				});
			}

			await waiting;
			assert.equal({outcome, reports}, expected);
		});
	}

	doTest(
		'waits for a port and reports it once',
		{code: 'EADDRINUSE', untilMs: 3000},
		{outcome: 'listens at 3000', reports: ['EADDRINUSE']},
	);
	doTest(
		'gives up after ten seconds',
		{code: 'EADDRINUSE', untilMs: Number.POSITIVE_INFINITY},
		{outcome: 'EADDRINUSE at 10000', reports: ['EADDRINUSE']},
	);
	doTest(
		'does not wait after another error',
		{code: 'EACCES', untilMs: 3000},
		{outcome: 'EACCES at 50', reports: []},
	);
});

describe('listenOn', () => {
	it('listens with a server that has failed before', async () => {
		const [port] = await getFreePorts(address, 1);
		const former = createServer();
		const server = createServer();
		await listenOn(former, {address, port: port!});
		for (let attempt = 0; attempt < 3; attempt++) {
			try {
				await listenOn(server, {address, port: port!});
				assert.unreachable();
			} catch (error) {
				assert.is((error as NodeJS.ErrnoException).code, 'EADDRINUSE');
			}
		}

		await close(former);
		await listenOn(server, {address, port: port!});
		assert.ok(server.listening);
		await close(server);
	});

	// Node reports a connection that can't be accepted as an error of the server, which ends the process if nobody listens.
	it('survives errors of a listening server', async () => {
		const [port] = await getFreePorts(address, 1);
		const server = createServer();
		await listenOn(server, {address, port: port!});
		try {
			server.emit('error', makeError('EMFILE'));
			server.emit('error', makeError('EMFILE'));
		} finally {
			await close(server);
		}
	});
});

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {waitForPendingIo} from '../../src/http/wait-for-pending-io.js';

/** Sends a request after 100 ms, while the server thread is blocked, and posts its status code or error code. */
const callerCode = `
const {parentPort, workerData} = require('node:worker_threads');
const http = require('node:http');
parentPort.postMessage('ready');
setTimeout(() => {
	const request = http.request(workerData, {method: 'POST'}, (response) => {
		response.resume().on('end', () => parentPort.postMessage(String(response.statusCode)));
	});
	request.on('error', (error) => parentPort.postMessage(error.code));
	request.end('body');
}, 100);
`;
const blockedMs = 1500;
const closeDelayMs = 200;

function blockEventLoop(durationMs: number): void {
	const endMs = Date.now() + durationMs;
	while (Date.now() < endMs) {
		// Blocks the event loop of this thread.
	}
}

describe('waitForPendingIo', () => {
	describe('when the event loop is blocked until after the server was due to close', () => {
		function doTest(
			name: string,
			beforeClose: () => Promise<void>,
			isServed: boolean,
		): void {
			it(name, async () => {
				const server = http.createServer((request, response) => {
					request.resume().on('end', () => {
						response.end();
					});
				});
				await new Promise<void>((resolve) => {
					server.listen(0, '127.0.0.1', resolve);
				});
				const {port} = server.address() as AddressInfo;
				const caller = new Worker(callerCode, {
					eval: true,
					workerData: `http://127.0.0.1:${port}/`,
				});
				const end = new Promise<string>((resolve, reject) => {
					caller.on('error', reject);
					caller.on('message', (message: string) => {
						if (message !== 'ready') {
							resolve(message);
							return;
						}

						setTimeout(() => {
							void (async () => {
								await beforeClose();
								server.close();
								server.closeIdleConnections();
							})();
						}, closeDelayMs);
						blockEventLoop(blockedMs);
					});
				});
				assert.is((await end) === '200', isServed);
				await caller.terminate();
			});
		}

		doTest(
			'serves requests that arrived before the close',
			waitForPendingIo,
			true,
		);
		doTest('resets them without the wait', async () => undefined, false);
	});
});

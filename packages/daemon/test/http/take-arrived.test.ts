import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {takeArrived} from '../../src/http/take-arrived.js';

/** Sends a request after 100 ms, while the thread of the server is held up, and tells how it ended. */
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
const heldUpMs = 1500;
const leaveMs = 200;

function holdUp(durationMs: number): void {
	const endMs = Date.now() + durationMs;
	while (Date.now() < endMs) {
		// The thread does nothing else.
	}
}

describe('takeArrived', () => {
	describe('on a host that is held up until after its time to leave', () => {
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
						}, leaveMs);
						holdUp(heldUpMs);
					});
				});
				assert.is((await end) === '200', isServed);
				await caller.terminate();
			});
		}

		doTest('serves what came before it closes', takeArrived, true);
		doTest('would reset it otherwise', async () => undefined, false);
	});
});

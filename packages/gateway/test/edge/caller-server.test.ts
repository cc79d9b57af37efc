import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {
	makeCallerListener,
	waitForPendingIo,
	type Answer,
	type CallerListener,
} from '@bilberryscale/daemon/edge';
import {describe, getFreePorts, it} from '@bilberryscale/testing';
import {Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {CallerServer} from '../../src/edge.js';

const loopback = '127.0.0.1';
const callerCount = 20;

function makeListener(paths: string[]): CallerListener {
	return {
		onRequest(request, response) {
			paths.push(request.url!);
			response.end('served');
		},
		onContinue: (_request, response) => response.end(),
		onConnect: (_request, socket) => socket.destroy(),
		onExpectation: (_request, response) => response.end(),
		onClientError: (_error, socket) => socket.destroy(),
		onConnection: () => undefined,
		getOpenRequests: () => [],
		getConnectionCount: () => 0,
		drain: () => undefined,
		endRequests: () => undefined,
		refuseLateRequests: () => [],
	};
}

async function fetchText(url: string): Promise<string> {
	const response = await fetch(url);
	return response.text();
}

async function withCallerServer(
	body: (server: CallerServer, url: string) => Promise<void>,
): Promise<void> {
	const server = new CallerServer();
	const [port] = await getFreePorts(loopback, 1);
	await server.listen({address: loopback, port: port!});
	try {
		await body(server, `http://${loopback}:${port}`);
	} finally {
		server.close();
	}
}

describe('CallerServer', () => {
	describe('setTimeouts', () => {
		it('rejects a request whose headers arrive too slowly', async () => {
			await withCallerServer(async (server, url) => {
				server.setTimeouts({headerTimeoutMs: 100, idleTimeoutMs: 1000});
				const paths: string[] = [];
				server.setListener({
					...makeListener(paths),
					onClientError(error, socket) {
						paths.push(error.code!);
						socket.destroy();
					},
				});
				const {hostname, port} = new URL(url);
				const startedAtMs = performance.now();
				const socket = net.connect(Number(port), hostname);
				socket.write('GET / HTTP/1.1\r\n');
				await once(socket, 'close');
				const tookMs = performance.now() - startedAtMs;
				assert.ok(tookMs < 3000, `${tookMs} ms`);
				assert.equal(paths, ['ERR_HTTP_REQUEST_TIMEOUT']);
			});
		});
	});

	describe('close', () => {
		// What had arrived of a long head waited for its turn, and its connection was closed as an idle one.
		function doTest(headLength: number): void {
			it(`answers requests that have arrived, with heads of ${headLength} bytes`, async () => {
				await withCallerServer(async (server, url) => {
					const {hostname, port} = new URL(url);
					server.setListener(
						makeCallerListener({
							clock: systemClock,
							log: {error: () => undefined},
							getUnavailableFailure: () => undefined,
							pipeline: async () =>
								Ok<Answer>({
									status: 200,
									headers: {},
									body: Buffer.from('served'),
								}),
						}),
					);
					const answers: string[] = [];
					const sockets = Array.from({length: callerCount}, (_, index) => {
						const socket = net.connect(Number(port), hostname);
						answers.push('');
						socket.on('data', (bytes: Buffer) => {
							answers[index] += bytes.toString();
						});
						socket.on('error', () => undefined);
						return socket;
					});
					await sleep(50);
					const padding = 'x'.repeat(headLength);
					for (const socket of sockets) {
						socket.write(
							`GET / HTTP/1.1\r\nHost: a\r\nX-Padding: ${padding}\r\n\r\n`,
						);
					}

					// Lets the bytes arrive while the event loop does not run.
					Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 50);
					await waitForPendingIo();
					server.close();
					await sleep(200);
					const served = answers.filter((answer) => answer.includes('served'));
					assert.is(served.length, callerCount);
					for (const socket of sockets) {
						socket.destroy();
					}
				});
			});
		}

		doTest(100);
		doTest(4000);
		doTest(16_000);
	});

	describe('setListener, when requests arrive before a listener is set', () => {
		it('accepts connections and handles their requests later', async () => {
			await withCallerServer(async (server, url) => {
				const earlyText = fetchText(`${url}/early`);
				await sleep(30);
				const paths: string[] = [];
				server.setListener(makeListener(paths));
				assert.is(await earlyText, 'served');
				assert.is(await fetchText(`${url}/late`), 'served');
				assert.equal(paths, ['/early', '/late']);
			});
		});

		it('drops pending requests whose caller has disconnected', async () => {
			await withCallerServer(async (server, url) => {
				const abortController = new AbortController();
				const earlyFetch = fetch(`${url}/gone`, {
					signal: abortController.signal,
				});
				await sleep(30);
				abortController.abort();
				await earlyFetch.catch(() => undefined);
				await sleep(30);
				const paths: string[] = [];
				server.setListener(makeListener(paths));
				assert.is(await fetchText(`${url}/next`), 'served');
				assert.equal(paths, ['/next']);
			});
		});
	});
});

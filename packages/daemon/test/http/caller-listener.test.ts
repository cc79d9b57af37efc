import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {processByteBudget} from '../../src/buffers/byte-budget.js';
import {makeCallerListener} from '../../src/http/caller-listener.js';
import type {Answer} from '../../src/pipeline/exchange.js';
import {RawCaller} from '../utils/raw-caller.js';

const makeRequestText = (path: string, headers = '') =>
	`GET ${path} HTTP/1.1\r\nHost: a\r\n${headers}\r\n`;

type PipelinedExchange = {
	readonly text: string;
	/** The paths of the requests that entered the pipeline. */
	readonly receivedPaths: readonly string[];
};

/** Sends pipelined requests in one write; the response to each takes 30 ms. */
async function sendPipelined(
	paths: readonly string[],
	options: {readonly isClosing: boolean; readonly isCloseDelimited?: boolean},
): Promise<PipelinedExchange> {
	const receivedPaths: string[] = [];
	const listener = makeCallerListener({
		clock: systemClock,
		log: {error: () => undefined},
		getUnavailableFailure: () => undefined,
		isClosingConnections: () => options.isClosing,
		async pipeline({incoming: {url}}) {
			receivedPaths.push(url);
			await sleep(30);
			const answer: Answer = {
				status: 200,
				headers: {},
				body: Buffer.from(`answer to ${url}`),
				isCloseDelimited: options.isCloseDelimited === true,
			};
			return Ok(answer);
		},
	});
	const server = createServer();
	server.on('request', listener.onRequest);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const socket = net.connect((server.address() as AddressInfo).port);
	let text = '';
	socket.on('data', (chunk) => {
		text += chunk.toString();
	});
	socket.on('error', () => undefined);
	socket.write(paths.map((path) => makeRequestText(path)).join(''));
	await sleep(150);
	socket.destroy();
	server.close();
	return {text, receivedPaths};
}

describe('caller listener', () => {
	// A response that waits behind others is not closed with its connection: what it held stayed held.
	it('gives back what pipelined requests hold when their connection closes', async () => {
		const signals: AbortSignal[] = [];
		const listener = makeCallerListener({
			clock: systemClock,
			log: {error: () => undefined},
			getUnavailableFailure: () => undefined,
			async pipeline({incoming}) {
				signals.push(incoming.signal);
				incoming.lease?.add(1000);
				await sleep(incoming.url === '/slow' ? 100 : 0);
				const answer: Answer = {
					status: 200,
					headers: {},
					body: Buffer.from('answer'),
				};
				return Ok(answer);
			},
		});
		const server = createServer(listener.onRequest);
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const heldBefore = processByteBudget.heldBytes;
		const socket = net.connect((server.address() as AddressInfo).port);
		socket.write(makeRequestText('/slow') + makeRequestText('/next'));
		await sleep(50);
		assert.is(processByteBudget.heldBytes, heldBefore + 2000);
		socket.destroy();
		await sleep(150);
		server.close();
		assert.is(processByteBudget.heldBytes, heldBefore);
		assert.is(listener.getOpenRequests().length, 0);
		assert.equal(
			signals.map(({aborted}) => aborted),
			[true, true],
		);
	});

	describe('a host that shuts down', () => {
		it('closes a connection only after the response to its latest request', async () => {
			const {text} = await sendPipelined(['/1', '/2', '/3'], {isClosing: true});
			const [first = '', second = '', third = ''] = text
				.split('HTTP/1.1 200')
				.slice(1);
			assert.match(first, /connection: keep-alive.*answer to \/1/isv);
			assert.match(second, /connection: keep-alive.*answer to \/2/isv);
			assert.match(third, /connection: close.*answer to \/3/isv);
		});
	});

	describe('endRequests', () => {
		function doTest(
			name: string,
			unsettledCopies: number | undefined,
			expected: RegExp,
			headers = '',
		): void {
			it(name, async () => {
				const listener = makeCallerListener({
					clock: systemClock,
					log: {error: () => undefined},
					getUnavailableFailure: () => undefined,
					async pipeline(exchange) {
						exchange.unsettledCopies = unsettledCopies;
						return new Promise(() => {
							// The target never answers.
						});
					},
				});
				const server = createServer(listener.onRequest);
				await new Promise<void>((resolve) => {
					server.listen(0, '127.0.0.1', resolve);
				});
				const socket = net.connect((server.address() as AddressInfo).port);
				let text = '';
				socket.on('data', (chunk) => {
					text += chunk.toString();
				});
				socket.write(makeRequestText('/1', headers));
				await sleep(50);
				listener.endRequests();
				await sleep(50);
				socket.destroy();
				server.close();
				assert.match(text, expected);
			});
		}

		doTest(
			'promises that a request has not run if no copy was sent',
			0,
			/^HTTP\/1.1 503.*retry-after/isv,
		);
		doTest(
			'promises nothing if a target may have run it',
			1,
			/^HTTP\/1.1 504/v,
		);
		doTest('promises nothing if nobody counts', undefined, /^HTTP\/1.1 504/v);
		// An earlier request with the key may have run.
		doTest(
			'promises nothing for a key that waits',
			0,
			/^HTTP\/1.1 503.*x-run-state: unknown/isv,
			'Idempotency-Key: k\r\n',
		);
	});

	// The interim response became a part of the body, and the rest of the body was read as the next answer.
	describe('a pipelined request that expects an interim response', () => {
		function doTest(name: string, makeBody: (text: string) => Answer['body']) {
			it(`gets it before its answer: ${name}`, async () => {
				const listener = makeCallerListener({
					clock: systemClock,
					log: {error: () => undefined},
					getUnavailableFailure: () => undefined,
					async pipeline({incoming: {url, requestBody}}) {
						requestBody?.();
						await sleep(url === '/1' ? 30 : 0);
						const text = `answer to ${url}`;
						const headers = {'content-length': String(text.length)};
						return Ok({status: 200, headers, body: makeBody(text)});
					},
				});
				const server = createServer(listener.onRequest);
				server.on('checkContinue', listener.onContinue);
				await new Promise<void>((resolve) => {
					server.listen(0, '127.0.0.1', resolve);
				});
				const caller = new RawCaller((server.address() as AddressInfo).port);
				const expectation = 'Expect: 100-continue\r\n';
				caller.send(
					makeRequestText('/1') +
						makeRequestText('/2', expectation) +
						makeRequestText('/3', 'Connection: close\r\n'),
				);
				await caller.closed;
				server.close();
				const {receivedText} = caller;
				assert.match(
					receivedText,
					/answer to \/1HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /v,
				);
				assert.match(receivedText, /\r\n\r\nanswer to \/2HTTP\/1.1 200 /v);
			});
		}

		doTest('whole', (text) => Buffer.from(text));
		doTest('a stream', (text) => Readable.from([Buffer.from(text)]));
	});

	describe('a close-delimited response', () => {
		it('is replaced by an error while later responses are pending', async () => {
			const {text} = await sendPipelined(['/1', '/2'], {
				isClosing: false,
				isCloseDelimited: true,
			});
			assert.match(text, /^HTTP\/1.1 502/v);
			assert.match(text, /answer to \/2$/v);
		});
	});
});

describe('a request that expects an interim response', () => {
	// Callers were asked for the bodies of requests that the host refused without reading them.
	function doTest(name: string, isRead: boolean, expected: boolean): void {
		it(name, async () => {
			const listener = makeCallerListener({
				clock: systemClock,
				log: {error: () => undefined},
				getUnavailableFailure: () => undefined,
				async pipeline({incoming: {requestBody, body}}) {
					if (isRead) {
						requestBody?.();
						body.resume();
					}

					const answer: Answer = {
						status: isRead ? 200 : 503,
						headers: {'content-length': '0'},
						body: Buffer.alloc(0),
					};
					return Ok(answer);
				},
			});
			const server = createServer();
			server.on('checkContinue', listener.onContinue);
			await new Promise<void>((resolve) => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const caller = new RawCaller((server.address() as AddressInfo).port);
			caller.send(
				'POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n',
			);
			await sleep(50);
			caller.socket.destroy();
			server.close();
			const isAsked = caller.receivedText.startsWith('HTTP/1.1 100 Continue');
			assert.is(isAsked, expected);
		});
	}

	doTest('gets one when the body is read', true, true);
	doTest('gets none when it is refused unread', false, false);
});

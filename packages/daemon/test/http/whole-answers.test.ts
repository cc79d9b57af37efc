import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {waitUntil, withEdge} from '../utils/edge.js';
import {parseResponse} from '../utils/raw-caller.js';
import type {RawScript} from '../utils/raw-target.js';

const get = 'GET /svc/a HTTP/1.1\r\nHost: a\r\n';
const closing = `${get}Connection: close\r\n\r\n`;
const keepingAlive = `${get}\r\n`;
const post = 'POST /svc/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody';
const ok = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const stayQuiet: RawScript = () => undefined;

type ErrorDocument = {
	readonly kind: string;
	readonly ran: string;
};

function parseProblem(text: string): ErrorDocument {
	const {kind, ran} = JSON.parse(parseResponse(text).body) as ErrorDocument;
	return {kind, ran};
}

describe('whole answers', () => {
	describe('an answer that ends with its connection', () => {
		const openEnded = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf';

		it('ends with the connection towards the caller too', async () => {
			const script: RawScript = ({socket}) => {
				socket.end(openEnded);
			};

			await withEdge({script}, async (edge) => {
				const caller = edge.connect();
				caller.send(keepingAlive);
				await caller.closed;
				const {headers, body} = parseResponse(caller.receivedText);
				assert.is(headers.get('content-length'), undefined);
				assert.is(headers.get('transfer-encoding'), undefined);
				assert.is(body, 'half');
			});
		});
	});

	describe('a body that breaks off', () => {
		function doTest(name: string, input: string, version = '1.1'): void {
			it(name, async () => {
				const script: RawScript = ({socket}) => {
					socket.write(input);
					setTimeout(() => {
						socket.destroy();
					}, 20);
				};

				await withEdge({script}, async (edge) => {
					const caller = edge.connect();
					let hasFailed = false;
					caller.socket.once('error', () => {
						hasFailed = true;
					});
					caller.send(closing.replace('HTTP/1.1', `HTTP/${version}`));
					await caller.closed;
					const {headers, body, text} = parseResponse(caller.receivedText);
					const length = headers.get('content-length');
					const isShort = length !== undefined && body.length < Number(length);
					const isOpenEnded =
						headers.get('transfer-encoding') === 'chunked' &&
						!text.endsWith('0\r\n\r\n');
					assert.ok(isShort || isOpenEnded || hasFailed, text);
				});
			});
		}

		const chunked =
			'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n';
		doTest(
			'is short of its length',
			'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
		);
		doTest('has no last chunk', chunked);
		doTest('has no last chunk, for HTTP/1.0', chunked, '1.0');
		doTest('has a bad chunk', `${chunked}zz\r\n`);
	});

	describe('an answer before its head is whole', () => {
		function doTest(name: string, text: string): void {
			it(name, async () => {
				const script: RawScript = ({socket}) => {
					socket.end(text);
				};

				await withEdge({script}, async (edge) => {
					const answer = await edge.exchange(closing);
					assert.is(answer.status, 502, answer.text);
					assert.equal(parseProblem(answer.text), {
						kind: 'target-failed',
						ran: 'unknown',
					});
				});
			});
		}

		doTest('is empty', '');
		doTest('breaks in the head', 'HTTP/1.1 200 OK\r\nContent-Le');
		doTest('is not HTTP', 'hello\r\n\r\n');
	});

	it('cancels the send when the caller goes', async () =>
		withEdge({script: stayQuiet}, async (edge) => {
			const caller = edge.connect();
			caller.send(keepingAlive);
			await waitUntil(() => edge.target.requests.length === 1);
			caller.socket.destroy();
			await waitUntil(() => edge.target.sockets.size === 0);
		}));

	it('answers at the deadline and drops the late answer', async () => {
		const clock = new ManualClock();
		const script: RawScript = ({index, socket}) => {
			if (index === 1) {
				socket.write(ok);
			}
		};

		await withEdge({script, clock}, async (edge) => {
			const caller = edge.connect();
			caller.send(keepingAlive);
			await waitUntil(() => edge.target.requests.length === 1);
			clock.advance(5000);
			await waitUntil(() => caller.receivedText.endsWith('}'));
			assert.equal(parseProblem(caller.receivedText), {
				kind: 'deadline-exceeded',
				ran: 'unknown',
			});
			edge.target.requests[0]!.socket.write(ok.replace('ok', 'no'));
			caller.receivedText = '';
			caller.send(keepingAlive);
			await waitUntil(() => caller.receivedText.endsWith('ok'));
			const [first, second] = edge.target.requests;
			assert.is.not(first!.socket, second!.socket);
		});
	});

	it('keeps two requests of one connection apart', async () => {
		const script: RawScript = ({head, socket}) => {
			const isSlow = head.includes('slow');
			setTimeout(
				() => {
					socket.write(ok.replace('ok', isSlow ? 'a0' : 'a1'));
				},
				isSlow ? 30 : 0,
			);
		};

		await withEdge({script}, async (edge) => {
			const slow = keepingAlive.replace('/svc/a', '/svc/slow');
			const answer = await edge.exchange(slow + closing);
			assert.match(answer.text, /a0.*a1$/sv);
		});
	});

	it('ends the answers before bytes that are not HTTP', async () => {
		const script: RawScript = ({socket}) => {
			setTimeout(() => {
				socket.write(ok);
			}, 30);
		};

		await withEdge({script}, async (edge) => {
			const answer = await edge.exchange(`${keepingAlive}hello\r\n\r\n`);
			assert.is(answer.status, 200);
			assert.is(answer.body, 'ok');
		});
	});

	it('does not run a request again whose connection closes', async () => {
		const script: RawScript = ({index, socket}) => {
			if (index === 0) {
				socket.write(ok);
			} else {
				socket.destroy();
			}
		};

		await withEdge({script}, async (edge) => {
			const caller = edge.connect();
			caller.send(keepingAlive);
			await waitUntil(() => caller.receivedText.endsWith('ok'));
			caller.receivedText = '';
			caller.send(post);
			await waitUntil(() => caller.receivedText.endsWith('}'));
			assert.equal(parseProblem(caller.receivedText), {
				kind: 'target-failed',
				ran: 'unknown',
			});
			assert.is(edge.target.requests.length, 2);
		});
	});

	it('says "not-run" when no connection can be opened', async () =>
		withEdge({script: stayQuiet}, async (edge) => {
			await edge.target.close();
			const answer = await edge.exchange(closing);
			assert.equal(parseProblem(answer.text), {
				kind: 'target-unreachable',
				ran: 'not-run',
			});
		}));

	it('does not read ahead of a slow caller', async () => {
		const blockBytes = 64 * 1024;
		const totalBytes = 64 * 1024 * 1024;
		let sentBytes = 0;
		const block = Buffer.alloc(blockBytes, 'a');
		const script: RawScript = ({socket}) => {
			const fill = () => {
				let isOpen = true;
				while (sentBytes < totalBytes && isOpen) {
					sentBytes += blockBytes;
					isOpen = socket.write(block);
				}
			};

			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${totalBytes}\r\n\r\n`);
			socket.on('drain', fill);
			fill();
		};

		await withEdge({script}, async (edge) => {
			const caller = edge.connect();
			caller.socket.pause();
			caller.send(closing);
			await untilSteady(() => sentBytes);
			assert.ok(sentBytes < totalBytes / 2, `${sentBytes} bytes were read`);
			caller.socket.resume();
			await caller.closed;
			const {body} = parseResponse(caller.receivedText);
			assert.is(body.length, totalBytes);
		});
	});
});

/** Waits until a count that has begun to grow no longer does. */
async function untilSteady(getCount: () => number): Promise<void> {
	let former = 0;
	while (former === 0 || getCount() !== former) {
		former = getCount();
		await sleep(100);
	}
}

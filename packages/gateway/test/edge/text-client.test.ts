/** A store or another host that sends bytes without end was asked again at once, several times a second. */

import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {gzipSync} from 'node:zlib';
import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {TextClient} from '../../src/edge/text-client.js';

const okHead = 'HTTP/1.1 200 OK\r\n';
const pieceLength = 65_536;
const request = {method: 'GET', path: '/', timeoutMs: 1000} as const;

type SentFlood = {readonly kind: string; readonly pauseMs: number};

/** Runs a client of a server that responds to each connection as given. */
async function withClient(
	respond: (socket: net.Socket, connectionCount: number) => void,
	body: (
		client: TextClient,
		clock: ManualClock,
		floods: readonly SentFlood[],
	) => Promise<void>,
): Promise<number> {
	let connectionCount = 0;
	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		connectionCount++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			respond(socket, connectionCount);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const clock = new ManualClock();
	const floods: SentFlood[] = [];
	const client = new TextClient({
		clock,
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		localAddress: '127.0.0.1',
		onFlood({kind}, pauseMs) {
			floods.push({kind, pauseMs});
		},
	});
	try {
		await body(client, clock, floods);
	} finally {
		client.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	}

	return connectionCount;
}

function sendEndlessly(
	socket: net.Socket,
	start: string,
	pieceText: string,
): void {
	const piece = Buffer.from(
		pieceText.repeat(Math.ceil(pieceLength / pieceText.length)),
	);
	const send = () => {
		while (!socket.destroyed && socket.write(piece)) {
			// The buffer of the socket has room.
		}
	};

	socket.write(start);
	socket.on('drain', send);
	send();
}

describe('TextClient', () => {
	describe('fetch, from an address that sends bytes without end', () => {
		function doTest(kind: string, start: string, pieceText: string): void {
			it(`leaves it alone for a growing time: ${kind}, ${JSON.stringify(pieceText)}`, async () => {
				const connectionCount = await withClient(
					(socket, count) => {
						if (count <= 2) {
							sendEndlessly(socket, start, pieceText);
						} else {
							socket.write(`${okHead}Content-Length: 2\r\n\r\nok`);
						}
					},
					async (client, clock, floods) => {
						for (const pauseMs of [100, 200]) {
							const flooded = await client.fetch(request);
							assert.ok(flooded.isErr());
							client.reconnect();
							assert.equal(floods.at(-1), {kind, pauseMs});
							clock.advance(pauseMs - 1);
							const early = await client.fetch(request);
							assert.ok(early.isErr());
							client.reconnect();
							clock.advance(1);
						}

						const response = await client.fetch(request);
						assert.is(response.unwrap().text, 'ok');
						assert.is(floods.length, 2);
					},
				);
				assert.is(connectionCount, 3);
			});
		}

		const chunked = `${okHead}Transfer-Encoding: chunked\r\n\r\n`;
		doTest('framing', chunked, '1\r\nx\r\n');
		doTest('framing', `${chunked}2\r\nok\r\n0\r\n`, 'a:b\r\n');
		doTest('head', okHead, 'a:b\r\n');
		doTest('informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n');
		doTest('unused body', `${okHead}\r\n`, 'x');
	});

	describe('fetch, of a response that stops', () => {
		it('tells how far the response had come', async () => {
			/** How long a response may take whose few bytes allow next to no time. */
			const silentMs = 450;
			await withClient(
				(socket) => {
					socket.write(`${okHead}Content-Length: 10\r\n\r\nabc`);
				},
				async (client, clock) => {
					const pending = client.fetch(request);
					await sleep(100);
					clock.advance(silentMs + 1);
					const response = await pending;
					const {progress} = response.unwrapErr();
					assert.equal(progress, {
						receivedBytes: 3,
						expectedBytes: 10,
						silentMs,
					});
				},
			);
		});
	});

	// Each item costs far more memory than its bytes, and the event loop waits until all are parsed.
	describe('fetch, of JSON with very many items', () => {
		function doTest(
			name: string,
			body: Buffer,
			isAccepted: boolean,
			headers = '',
		): void {
			it(`${isAccepted ? 'accepts' : 'rejects'} ${name}`, async () => {
				await withClient(
					(socket) => {
						socket.write(
							`${okHead}${headers}Content-Length: ${body.length}\r\n\r\n`,
						);
						socket.write(body);
					},
					async (client, _clock, floods) => {
						const response = await client.fetch(request);
						assert.is(response.isOk(), isAccepted);
						assert.is(floods.length, isAccepted ? 0 : 1);
					},
				);
			});
		}

		const accounts = JSON.stringify(
			Array.from({length: 10_000}, (_, index) => ({
				id: `account-${index}`,
				keys: Array.from({length: 5}, () => 'x'.repeat(32)),
			})),
		);
		const emptyLists = Buffer.from(`[${'[],'.repeat(1_000_000)}[]]`);
		doTest('many accounts', Buffer.from(accounts), true);
		doTest('empty lists', emptyLists, false);
		doTest('numbers', Buffer.from(`[${'1,'.repeat(1_000_000)}1]`), false);
		doTest(
			'a compressed text that is too long',
			gzipSync(Buffer.alloc(16_777_216)),
			false,
			'Content-Encoding: gzip\r\n',
		);
		doTest(
			'compressed empty lists',
			gzipSync(emptyLists),
			false,
			'Content-Encoding: gzip\r\n',
		);
	});
});

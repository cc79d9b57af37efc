/** A connection whose bytes are parsed in slices must not lose, repeat or reorder any of them. */

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {
	setImmediate as afterEvents,
	setTimeout as sleep,
} from 'node:timers/promises';
import {makeSeededRandom, type RandomSource} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {RequestPacer} from '../../src/http/request-pacer.js';

const crlf = '\r\n';
const headEnd = `${crlf}${crlf}`;
const seedCount = 8;
const connectionsPerSeed = 8;
const requestsPerConnection = 12;
const lastPath = `/${requestsPerConnection - 1}`;
const maxBodyBytes = 150_000;
const maxWaitMs = 15_000;

function pickBelow(random: RandomSource, limit: number): number {
	return Math.floor(random() * limit);
}

/** Makes bytes that differ at each place, so that a shift shows. */
function makeBytes(random: RandomSource, length: number): Buffer {
	const bytes = Buffer.allocUnsafe(length);
	for (let index = 0; index < length; index++) {
		bytes[index] = pickBelow(random, 256);
	}

	return bytes;
}

function makeRequest(path: string, body: Buffer, random: RandomSource): Buffer {
	// The server closes the connection after the last response.
	const persistence =
		path === lastPath ? 'Connection: close' : 'Connection: keep-alive';
	const head = `POST ${path} HTTP/1.1${crlf}Host: a${crlf}${persistence}${crlf}`;
	const expectation = random() < 0.2 ? `Expect: 100-continue${crlf}` : '';
	if (random() < 0.5) {
		return Buffer.concat([
			Buffer.from(
				`${head}${expectation}Content-Length: ${body.length}${headEnd}`,
			),
			body,
		]);
	}

	const parts: Buffer[] = [
		Buffer.from(`${head}${expectation}Transfer-Encoding: chunked${headEnd}`),
	];
	for (let start = 0; start < body.length;) {
		const end = Math.min(
			body.length,
			start + 1 + pickBelow(random, random() < 0.5 ? 20 : 20_000),
		);
		parts.push(
			Buffer.from(`${(end - start).toString(16)}${crlf}`),
			body.subarray(start, end),
			Buffer.from(crlf),
		);
		start = end;
	}

	return Buffer.concat([...parts, Buffer.from(`0${headEnd}`)]);
}

/** Reads a body, sometimes late or with pauses, and sends it back with the path. */
async function echo(
	request: IncomingMessage,
	response: ServerResponse,
	random: RandomSource,
): Promise<void> {
	if (random() < 0.3) {
		await sleep(pickBelow(random, 10));
	}

	const pieces: Buffer[] = [];
	const isSlow = random() < 0.3;
	for await (const piece of request) {
		pieces.push(piece as Buffer);
		if (isSlow && random() < 0.2) {
			await sleep(1);
		}
	}

	const body = Buffer.concat(pieces);
	response.writeHead(200, {
		'x-path': request.url,
		'content-length': body.length,
	});
	if (response.socket === null) {
		// Node would put the head before an interim response that waits for its turn.
		response.flushHeaders();
	}

	response.end(body);
}

/** Writes bytes in pieces of random sizes. */
async function writePieces(
	socket: Socket,
	bytes: Buffer,
	random: RandomSource,
): Promise<void> {
	const maxPieceBytes = [40, 1500, 70_000][pickBelow(random, 3)]!;
	for (let start = 0; start < bytes.length;) {
		const isSmall = start < 4000 || random() < 0.05;
		const limit = isSmall ? maxPieceBytes : Math.max(maxPieceBytes, 1500);
		const end = Math.min(bytes.length, start + 1 + pickBelow(random, limit));
		if (!socket.write(bytes.subarray(start, end)) && !socket.destroyed) {
			await new Promise<void>((resolve) => {
				socket.once('drain', resolve);
				socket.once('close', () => {
					resolve();
				});
			});
		} else if (random() < 0.3) {
			await afterEvents();
		}

		start = end;
	}
}

/** Splits responses, without interim ones, into paths and bodies. */
function splitResponses(
	bytes: Buffer,
): ReadonlyArray<readonly [string, Buffer]> {
	const responses: Array<readonly [string, Buffer]> = [];
	for (let start = 0; start < bytes.length;) {
		const end = bytes.indexOf(headEnd, start);
		const head = bytes.subarray(start, end).toString('latin1');
		assert.match(head, /^HTTP\/1\.1 (?:100|200) /v);
		start = end + headEnd.length;
		if (head.startsWith('HTTP/1.1 200 ')) {
			const length = Number(
				/content-length: (?<length>\d+)/v.exec(head)?.groups?.length,
			);
			const path = /x-path: (?<path>\S+)/v.exec(head)?.groups?.path ?? '';
			responses.push([path, bytes.subarray(start, start + length)]);
			start += length;
		}
	}

	return responses;
}

async function runConnection(
	port: number,
	random: RandomSource,
): Promise<void> {
	const requests = Array.from(
		{length: requestsPerConnection},
		(_, index): readonly [string, Buffer] => {
			const limit = random() < 0.5 ? 300 : maxBodyBytes;
			return [`/${index}`, makeBytes(random, pickBelow(random, limit))];
		},
	);
	const sent = Buffer.concat(
		requests.map(([path, body]) => makeRequest(path, body, random)),
	);
	const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
	socket.on('error', () => undefined);
	const pieces: Buffer[] = [];
	const isSlow = random() < 0.4;
	socket.on('data', (piece: Buffer) => {
		pieces.push(piece);
		if (isSlow && random() < 0.2) {
			socket.pause();
			setTimeout(() => socket.resume(), pickBelow(random, 4));
		}
	});
	const ended = new Promise<void>((resolve) => {
		const timer = setTimeout(resolve, maxWaitMs);
		for (const event of ['end', 'close'] as const) {
			socket.once(event, () => {
				clearTimeout(timer);
				resolve();
			});
		}
	});
	await writePieces(socket, sent, random);
	await ended;
	socket.destroy();
	const responses = splitResponses(Buffer.concat(pieces));
	assert.equal(
		responses.map(([path]) => path),
		requests.map(([path]) => path),
	);
	for (const [index, [path, body]] of responses.entries()) {
		assert.ok(body.equals(requests[index]![1]), `the body of ${path} differs`);
	}
}

describe('RequestPacer', () => {
	function doTest(seed: number): void {
		it(`passes on pipelined requests byte by byte (seed ${seed})`, async () => {
			const random = makeSeededRandom(seed);
			const server = createServer();
			server.on('connection', (socket) => {
				assert.ok(new RequestPacer(socket));
			});
			server.on('request', (request, response) => {
				// The assertions on the responses show what has failed.
				void echo(request, response, random).catch(() => undefined);
			});
			server.on('checkContinue', (request, response) => {
				response.writeContinue();
				// The assertions on the responses show what has failed.
				void echo(request, response, random).catch(() => undefined);
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo;
			try {
				await Promise.all(
					Array.from({length: connectionsPerSeed}, async () =>
						runConnection(port, random),
					),
				);
			} finally {
				server.closeAllConnections();
				server.close();
			}
		});
	}

	for (let seed = 1; seed <= seedCount; seed++) {
		doTest(seed);
	}
});

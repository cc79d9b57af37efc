/** An answer that is parsed in slices and passed on in larger pieces must be whole, or fail. */

import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	setImmediate as afterEvents,
	setTimeout as sleep,
} from 'node:timers/promises';
import type {Readable} from 'node:stream';
import {makeSeededRandom, type RandomSource} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Connection} from '../../src/upstream/connection.js';
import {
	TargetRequest,
	type TargetAnswer,
} from '../../src/upstream/target-request.js';
import {RawTarget} from '../utils/raw-target.js';

/** An answer as a target writes it. */
type Script = {
	readonly status: number;
	readonly body: Buffer;
	readonly bytes: Buffer;
	/** How many of the bytes are written before the connection ends; all of them if it stays open. */
	readonly writtenBytes: number;
	readonly end: 'none' | 'close' | 'reset';
	readonly isCloseDelimited: boolean;
};

const crlf = '\r\n';
const seedCount = 8;
const connectionsPerSeed = 6;
const requestsPerConnection = 15;
const maxBodyBytes = 400_000;
const maxWaitMs = 5000;
const bodilessStatuses = [204, 304];

function pickBelow(random: RandomSource, limit: number): number {
	return Math.floor(random() * limit);
}

function pick<T>(random: RandomSource, items: readonly T[]): T {
	return items[pickBelow(random, items.length)]!;
}

/** Makes bytes that differ at each place, so that a shift shows. */
function makeBytes(random: RandomSource, length: number): Buffer {
	const bytes = Buffer.allocUnsafe(length);
	for (let index = 0; index < length; index++) {
		bytes[index] = pickBelow(random, 256);
	}

	return bytes;
}

function encodeChunks(body: Buffer, random: RandomSource): Buffer {
	const parts: Buffer[] = [];
	for (let start = 0; start < body.length;) {
		const maxBytes = pick(random, [8, 500, 30_000]);
		const end = Math.min(body.length, start + 1 + pickBelow(random, maxBytes));
		const extension = random() < 0.1 ? ';a=b' : '';
		parts.push(
			Buffer.from(`${(end - start).toString(16)}${extension}${crlf}`),
			body.subarray(start, end),
			Buffer.from(crlf),
		);
		start = end;
	}

	const trailer = random() < 0.2 ? `x-a: b${crlf}` : '';
	return Buffer.concat([...parts, Buffer.from(`0${crlf}${trailer}${crlf}`)]);
}

function makeScript(random: RandomSource): Script {
	const status = random() < 0.2 ? pick(random, bodilessStatuses) : 200;
	const isBodiless = status !== 200;
	const framing = pick(random, [
		'length',
		'chunks',
		'chunks',
		'close',
	] as const);
	const maxBytes = pick(random, [10, 3000, maxBodyBytes]);
	const body = makeBytes(random, isBodiless ? 0 : pickBelow(random, maxBytes));
	const interim =
		random() < 0.2 ? `HTTP/1.1 103 Early Hints${crlf}x-a: b${crlf}${crlf}` : '';
	const head = `${interim}HTTP/1.1 ${status} OK${crlf}`;
	let bytes: Buffer;
	if (isBodiless) {
		// A 304 may state the length that the body of a 200 would have.
		const length =
			status === 304 && random() < 0.5 ? `Content-Length: 500${crlf}` : '';
		bytes = Buffer.from(`${head}${length}${crlf}`);
	} else if (framing === 'length') {
		bytes = Buffer.concat([
			Buffer.from(`${head}Content-Length: ${body.length}${crlf}${crlf}`),
			body,
		]);
	} else if (framing === 'chunks') {
		bytes = Buffer.concat([
			Buffer.from(`${head}Transfer-Encoding: chunked${crlf}${crlf}`),
			encodeChunks(body, random),
		]);
	} else {
		bytes = Buffer.concat([Buffer.from(`${head}${crlf}`), body]);
	}

	const isCloseDelimited = !isBodiless && framing === 'close';
	if (isCloseDelimited) {
		const end = random() < 0.5 ? 'close' : 'reset';
		return {
			status,
			body,
			bytes,
			writtenBytes: bytes.length,
			end,
			isCloseDelimited,
		};
	}

	const isCut = random() < 0.25;
	return {
		status,
		body,
		bytes,
		writtenBytes: isCut ? pickBelow(random, bytes.length) : bytes.length,
		end: isCut ? pick(random, ['close', 'reset'] as const) : 'none',
		isCloseDelimited,
	};
}

/** Writes an answer in pieces of random sizes. */
async function writeAnswer(
	socket: Socket,
	{bytes, writtenBytes, end}: Script,
	random: RandomSource,
): Promise<void> {
	const maxPieceBytes = pick(random, [50, 1500, 70_000]);
	for (let start = 0; start < writtenBytes;) {
		const isSmall = start < 4000 || random() < 0.05;
		const limit = isSmall ? maxPieceBytes : Math.max(maxPieceBytes, 4000);
		const pieceEnd = Math.min(
			writtenBytes,
			start + 1 + pickBelow(random, limit),
		);
		if (!socket.write(bytes.subarray(start, pieceEnd)) && !socket.destroyed) {
			await new Promise<void>((resolve) => {
				socket.once('drain', resolve);
				socket.once('close', () => {
					resolve();
				});
			});
		} else if (random() < 0.3) {
			await afterEvents();
		}

		start = pieceEnd;
	}

	if (end === 'close') {
		socket.end();
	} else if (end === 'reset') {
		socket.resetAndDestroy();
	}
}

/** Reads a body, sometimes with pauses; returns undefined if it broke off. */
async function readBody(
	body: Readable | Buffer,
	random: RandomSource,
): Promise<Buffer | undefined> {
	if (Buffer.isBuffer(body)) {
		return body;
	}

	const pieces: Buffer[] = [];
	const isSlow = random() < 0.4;
	if (isSlow) {
		body.on('error', () => undefined);
		await sleep(pickBelow(random, 10));
	}

	return new Promise((resolve) => {
		body.on('data', (piece: Buffer) => {
			pieces.push(piece);
			if (isSlow && random() < 0.3) {
				body.pause();
				setTimeout(
					() => {
						body.resume();
					},
					pickBelow(random, 3),
				);
			}
		});
		body.once('error', () => {
			resolve(undefined);
		});
		body.once('end', () => {
			resolve(Buffer.concat(pieces));
		});
		if (body.destroyed) {
			resolve(undefined);
		}
	});
}

type Outcome = {
	readonly answer: TargetAnswer | undefined;
	readonly body: Buffer | undefined;
	/** Whether the request has ended and its connection could be used again. */
	readonly isComplete: boolean;
};

async function request(
	connection: Connection,
	path: string,
	random: RandomSource,
): Promise<Outcome> {
	let answer: TargetAnswer | undefined;
	let body: Promise<Buffer | undefined> = Promise.resolve(undefined);
	const error = await new Promise<Error | undefined>((resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`${path} has not ended`));
		}, maxWaitMs);
		const targetRequest = new TargetRequest({
			onAnswer(received) {
				answer = received;
				body = readBody(received.body, random);
			},
			onEnd(endError) {
				clearTimeout(timer);
				resolve(endError);
			},
		});
		connection.dispatch({method: 'GET', path}, targetRequest);
	});
	return {answer, body: await body, isComplete: error === undefined};
}

function checkOutcome(
	{answer, body, isComplete}: Outcome,
	script: Script,
	path: string,
): void {
	const isWhole = script.writtenBytes === script.bytes.length;
	const isRegular =
		isWhole && !(script.isCloseDelimited && script.end === 'reset');
	if (isRegular) {
		assert.is(isComplete, true, `${path} failed`);
		assert.ok(body?.equals(script.body), `the body of ${path} differs`);
	} else {
		assert.is(body, undefined, `the part of ${path} looks whole`);
	}

	if (answer !== undefined) {
		assert.is(answer.status, script.status);
		assert.is(answer.isCloseDelimited, script.isCloseDelimited);
	}
}

async function runConnection(random: RandomSource): Promise<void> {
	const scripts = Array.from({length: requestsPerConnection}, () =>
		makeScript(random),
	);
	const target = new RawTarget(({socket, head}) => {
		const index = Number(/^GET \/(?<index>\d+) /v.exec(head)!.groups!.index);
		void writeAnswer(socket, scripts[index]!, random);
	});
	await target.listen();
	const connection = new Connection({
		origin: `http://127.0.0.1:${target.port}`,
		localAddress: '127.0.0.1',
	});
	try {
		for (const [index, script] of scripts.entries()) {
			const path = `/${index}`;
			checkOutcome(await request(connection, path, random), script, path);
		}
	} finally {
		connection.destroy();
		await target.close();
	}
}

describe('TargetRequest', () => {
	function doTest(seed: number): void {
		it(`passes on answers byte by byte (seed ${seed})`, async () => {
			const random = makeSeededRandom(seed);
			await Promise.all(
				Array.from({length: connectionsPerSeed}, async () =>
					runConnection(random),
				),
			);
		});
	}

	for (let seed = 1; seed <= seedCount; seed++) {
		doTest(seed);
	}
});

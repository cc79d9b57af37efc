/** A target that sends bytes without end takes the time of the event loop, though nothing of it is kept. */

import {Buffer} from 'node:buffer';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Connection} from '../../src/upstream/connection.js';
import type {ResponseFlood} from '../../src/upstream/response-flood.js';
import {TargetRequest} from '../../src/upstream/target-request.js';
import {RawTarget} from '../utils/raw-target.js';

type Outcome = {
	readonly error: Error | undefined;
	readonly body: string;
	readonly floods: readonly ResponseFlood[];
};

const crlf = '\r\n';
const chunkedHead = `HTTP/1.1 200 OK${crlf}Transfer-Encoding: chunked${crlf}${crlf}`;

/** Sends a request to a target that answers with some bytes and keeps its connection open. */
async function request(response: string): Promise<Outcome> {
	const target = new RawTarget(({socket}) => {
		socket.write(response);
	});
	await target.listen();
	const floods: ResponseFlood[] = [];
	const connection = new Connection({
		origin: `http://127.0.0.1:${target.port}`,
		localAddress: '127.0.0.1',
		onFlood(flood) {
			floods.push(flood);
		},
	});
	const pieces: Buffer[] = [];
	try {
		const error = await new Promise<Error | undefined>((resolve) => {
			const targetRequest = new TargetRequest({
				onAnswer({body}) {
					if (Buffer.isBuffer(body)) {
						pieces.push(body);
						return;
					}

					body.on('error', () => undefined);
					body.on('data', (piece: Buffer) => {
						pieces.push(piece);
					});
					body.once('end', () => {
						resolve(undefined);
					});
				},
				onEnd(endError) {
					if (endError !== undefined || pieces.length > 0) {
						resolve(endError);
					}
				},
			});
			connection.dispatch({method: 'GET', path: '/'}, targetRequest);
		});
		return {error, body: Buffer.concat(pieces).toString(), floods};
	} finally {
		connection.destroy();
		await target.close();
	}
}

describe('MeteredSocket', () => {
	describe('a useful response', () => {
		function doTest(name: string, response: string, body: string): void {
			it(`is passed on whole: ${name}`, async () => {
				assert.equal(await request(response), {
					error: undefined,
					body,
					floods: [],
				});
			});
		}

		const long = 'x'.repeat(3_000_000);
		doTest(
			'a short body',
			`HTTP/1.1 200 OK${crlf}Content-Length: 2${crlf}${crlf}ok`,
			'ok',
		);
		doTest(
			'a long body',
			`HTTP/1.1 200 OK${crlf}Content-Length: ${long.length}${crlf}${crlf}${long}`,
			long,
		);
		doTest(
			'100,000 chunks of one byte',
			`${chunkedHead}${`1${crlf}x${crlf}`.repeat(100_000)}0${crlf}${crlf}`,
			'x'.repeat(100_000),
		);
		doTest(
			'400,000 chunks of ten bytes',
			`${chunkedHead}${`a${crlf}${'x'.repeat(10)}${crlf}`.repeat(400_000)}0${crlf}${crlf}`,
			'x'.repeat(4_000_000),
		);
		doTest(
			'a head of 15 KiB in 200 lines',
			`HTTP/1.1 200 OK${crlf}${`X-A: ${'x'.repeat(70)}${crlf}`.repeat(200)}Content-Length: 2${crlf}${crlf}ok`,
			'ok',
		);
		doTest(
			'100 informational responses',
			`${`HTTP/1.1 103 Early Hints${crlf}${crlf}`.repeat(100)}HTTP/1.1 200 OK${crlf}Content-Length: 2${crlf}${crlf}ok`,
			'ok',
		);
		doTest(
			'a body of many lines',
			`${chunkedHead}ea60${crlf}${crlf.repeat(30_000)}${crlf}0${crlf}${crlf}`,
			crlf.repeat(30_000),
		);
		doTest(
			'chunk extensions and trailers of some KiB',
			`${chunkedHead}2;a=${'x'.repeat(4000)}${crlf}ok${crlf}0${crlf}X-A: ${'x'.repeat(3000)}${crlf}${crlf}`,
			'ok',
		);
	});

	describe('a flood', () => {
		function doTest(
			kind: ResponseFlood['kind'],
			name: string,
			response: string,
			maxBytes: number,
		): void {
			it(`ends the connection: ${name}`, async () => {
				const {error, floods} = await request(response);
				assert.is(error?.name, 'ResponseFloodError');
				assert.equal(
					floods.map((flood) => flood.kind),
					[kind],
				);
				assert.ok(floods[0]!.bytes <= maxBytes, `${floods[0]!.bytes} bytes`);
			});
		}

		const headFloodBytes = 98_304;
		const framingFloodBytes = 131_072;
		doTest(
			'informational responses',
			'informational responses',
			`HTTP/1.1 103 Early Hints${crlf}${crlf}`.repeat(40_000),
			headFloodBytes,
		);
		doTest('head', 'empty lines', crlf.repeat(500_000), headFloodBytes);
		doTest(
			'head',
			'a reason phrase',
			`HTTP/1.1 200 ${'x'.repeat(1_000_000)}`,
			headFloodBytes,
		);
		doTest(
			'head',
			'short header lines',
			`HTTP/1.1 200 OK${crlf}${`a:b${crlf}`.repeat(200_000)}`,
			headFloodBytes,
		);
		doTest(
			'framing',
			'a chunk extension',
			`${chunkedHead}4;${'x'.repeat(1_000_000)}`,
			framingFloodBytes,
		);
		doTest(
			'framing',
			'trailers',
			`${chunkedHead}2${crlf}ok${crlf}0${crlf}${`a:b${crlf}`.repeat(200_000)}`,
			framingFloodBytes,
		);
		// 500 targets that stalled within their trailers took 182 MB: each short line costs far more than its bytes.
		doTest(
			'framing',
			'short trailers of 7 KiB',
			`${chunkedHead}2${crlf}ok${crlf}0${crlf}${`a:b${crlf}`.repeat(1400)}`,
			framingFloodBytes,
		);
		doTest(
			'framing',
			'2,000,000 chunks of one byte',
			`${chunkedHead}${`1${crlf}x${crlf}`.repeat(2_000_000)}`,
			1_310_720,
		);
	});
});

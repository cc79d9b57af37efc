import {Buffer} from 'node:buffer';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Connection} from '../../src/upstream/connection.js';
import {TargetRequest} from '../../src/upstream/target-request.js';
import {RawTarget, type RawScript} from '../utils/raw-target.js';

const openEnded = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf';

async function getEnd(script: RawScript): Promise<Error | undefined> {
	const target = new RawTarget(script);
	await target.listen();
	const connection = new Connection({
		origin: `http://127.0.0.1:${target.port}`,
		localAddress: '127.0.0.1',
	});
	try {
		return await new Promise((resolve) => {
			const request = new TargetRequest({
				onAnswer({body}) {
					if (!Buffer.isBuffer(body)) {
						body.on('error', () => undefined);
						body.resume();
					}
				},
				onEnd: resolve,
			});
			connection.dispatch({method: 'GET', path: '/'}, request);
		});
	} finally {
		connection.destroy();
		await target.close();
	}
}

describe('Connection', () => {
	describe('an answer that ends with its connection', () => {
		function doTest(name: string, input: RawScript, isWhole: boolean): void {
			it(name, async () => {
				const error = await getEnd(input);
				assert.is(error === undefined, isWhole);
			});
		}

		doTest(
			'is whole after an orderly end',
			({socket}) => {
				socket.end(openEnded);
			},
			true,
		);
		doTest(
			'is not whole after a reset',
			({socket}) => {
				socket.write(openEnded);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			},
			false,
		);
	});
});

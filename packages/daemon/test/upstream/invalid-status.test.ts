/** A response whose status is outside 100 to 599 is none, whoever sent it. */

import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Connection} from '../../src/upstream/connection.js';
import {TargetRequest} from '../../src/upstream/target-request.js';

const crlf = '\r\n';

/** Gets the status of the response to a request, or the error that ended it. */
async function request(response: string): Promise<number | string> {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(response);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const connection = new Connection({
		origin: `http://127.0.0.1:${port}`,
		localAddress: '127.0.0.1',
	});
	try {
		return await new Promise<number | string>((resolve) => {
			connection.dispatch(
				{method: 'GET', path: '/'},
				new TargetRequest({
					onAnswer({status, body}) {
						if (!Buffer.isBuffer(body)) {
							body.on('error', () => undefined);
						}

						resolve(status);
					},
					onEnd(error) {
						resolve(error?.message ?? 'no answer');
					},
				}),
			);
		});
	} finally {
		connection.destroy();
		server.close();
	}
}

describe('a response of a target', () => {
	const end = `Content-Length: 2${crlf}${crlf}ok`;

	for (const status of ['000', '001', '020', '099', '600', '999']) {
		const head = `HTTP/1.1 ${status} x${crlf}`;
		const expected = `the answer has the invalid status ${Number(status)}`;

		it(`with the status ${status} is none`, async () => {
			assert.is(await request(head + end), expected);
		});

		it(`with the status ${status} is none after an informational response`, async () => {
			const informational = `HTTP/1.1 103 Early Hints${crlf}${crlf}`;
			assert.is(await request(informational + head + end), expected);
		});

		it(`with the status ${status} and nothing else is none, though another one follows`, async () => {
			const following = `HTTP/1.1 200 OK${crlf}${end}`;
			assert.is(await request(`${head}${crlf}${following}`), expected);
		});
	}

	for (const status of [200, 599]) {
		it(`with the status ${status} is one`, async () => {
			assert.is(await request(`HTTP/1.1 ${status} x${crlf}${end}`), status);
		});
	}
});

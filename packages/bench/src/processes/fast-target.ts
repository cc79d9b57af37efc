/** A target that answers at once, so that what is measured is the way to it. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {targetHeaders} from '@bilberryscale/core';

const body = Buffer.alloc(512, 'a');
const headers = {
	'content-type': 'text/plain',
	'content-length': String(body.length),
	[targetHeaders.load]: '1',
	[targetHeaders.bootId]: 'bench',
};

/**
 * Listens on each address.
 *
 * @param addresses - The IP numbers.
 * @param port - The port on each of them.
 */
export async function serveFastTargets(
	addresses: readonly string[],
	port: number,
): Promise<void> {
	await Promise.all(
		addresses.map(async (address) => {
			const server = http.createServer((request, response) => {
				request.resume();
				response.writeHead(200, headers);
				response.end(body);
			});
			server.keepAliveTimeout = 0;
			return new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen(port, address, resolve);
			});
		}),
	);
}

/** Targets that respond immediately, so that a benchmark measures only the path to them. */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {targetHeaders} from '@bilberryscale/core';

const responseBody = Buffer.alloc(512, 'a');
const responseHeaders = {
	'content-type': 'text/plain',
	'content-length': String(responseBody.length),
	[targetHeaders.load]: '1',
	[targetHeaders.bootId]: 'bench',
};

/**
 * Starts one target per address.
 *
 * @param addresses - IP addresses to listen on.
 * @param port - Port on each address.
 */
export async function serveFastTargets(
	addresses: readonly string[],
	port: number,
): Promise<void> {
	await Promise.all(
		addresses.map(async (address) => {
			const server = http.createServer((request, response) => {
				request.resume();
				response.writeHead(200, responseHeaders);
				response.end(responseBody);
			});
			server.keepAliveTimeout = 0;
			return new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen(port, address, resolve);
			});
		}),
	);
}

/** What the server checks about a request before the pipeline sees it. */

import type {IncomingMessage} from 'node:http';
import {notRun, type Failure} from '@bilberryscale/core';

const passedMethods = new Set([
	'GET',
	'HEAD',
	'POST',
	'PUT',
	'PATCH',
	'DELETE',
	'OPTIONS',
]);
const hostPattern = /^host$/iv;
const hostLength = 4;

/**
 * Gets why a request cannot be passed on.
 *
 * @param request - The request as it was parsed.
 * @returns The failure; undefined if nothing is wrong.
 */
export function getRequestFailure(
	request: IncomingMessage,
): Failure | undefined {
	const {method = ''} = request;
	if (!passedMethods.has(method)) {
		return notRun('method-unsupported', `"${method}" is not passed on.`);
	}

	const hosts = countHosts(request.rawHeaders);
	const isHostNeeded = request.httpVersion === '1.1';
	return hosts > 1 || (isHostNeeded && hosts === 0)
		? notRun('bad-request', `The request has ${hosts} Host headers.`)
		: undefined;
}

function countHosts(rawHeaders: readonly string[]): number {
	let count = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		if (name.length === hostLength && hostPattern.test(name)) {
			count++;
		}
	}

	return count;
}

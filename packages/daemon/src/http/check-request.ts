/** Validation of a request before it enters the pipeline. */

import type {IncomingMessage} from 'node:http';
import {notRun, type Failure} from '@bilberryscale/core';

const supportedMethods = new Set([
	'GET',
	'HEAD',
	'POST',
	'PUT',
	'PATCH',
	'DELETE',
	'OPTIONS',
]);
const hostHeaderPattern = /^host$/iv;
const hostHeaderLength = 4;

/**
 * Checks the method and the Host header of a request.
 *
 * @param request - The parsed request.
 * @returns Why the request is rejected; undefined if it is valid.
 */
export function checkRequest(request: IncomingMessage): Failure | undefined {
	const {method = ''} = request;
	if (!supportedMethods.has(method)) {
		return notRun('method-unsupported', `"${method}" is not passed on.`);
	}

	const hostCount = countHostHeaders(request.rawHeaders);
	const isHostRequired = request.httpVersion === '1.1';
	return hostCount > 1 || (isHostRequired && hostCount === 0)
		? notRun('bad-request', `The request has ${hostCount} Host headers.`)
		: undefined;
}

function countHostHeaders(rawHeaders: readonly string[]): number {
	let count = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		if (name.length === hostHeaderLength && hostHeaderPattern.test(name)) {
			count++;
		}
	}

	return count;
}

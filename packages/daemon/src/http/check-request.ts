/** Validation of a request before it enters the pipeline. */

import type {IncomingMessage} from 'node:http';
import {notRunFailure, type Failure} from '@bilberryscale/core';

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
/** The characters of a name by RFC 9110; the parser lets others pass on some machines. */
const tokenPattern = /^[\w!#$%\u0026'*+\-.^`\|~]+$/v;

/**
 * Checks the method, the names of the headers and the Host header of a request.
 *
 * @param request - The parsed request.
 * @returns Why the request is rejected; undefined if it is valid.
 */
export function checkRequest(request: IncomingMessage): Failure | undefined {
	const {method = ''} = request;
	if (!supportedMethods.has(method)) {
		return notRunFailure('method-unsupported', `"${method}" is not passed on.`);
	}

	const malformedName = findMalformedName(request.rawHeaders);
	if (malformedName !== undefined) {
		return notRunFailure(
			'bad-request',
			`${JSON.stringify(malformedName)} is not the name of a header.`,
		);
	}

	const hostCount = countHostHeaders(request.rawHeaders);
	const isHostRequired = request.httpVersion === '1.1';
	return hostCount > 1 || (isHostRequired && hostCount === 0)
		? notRunFailure('bad-request', `The request has ${hostCount} Host headers.`)
		: undefined;
}

function findMalformedName(rawHeaders: readonly string[]): string | undefined {
	return rawHeaders.find(
		(name, index) => index % 2 === 0 && !tokenPattern.test(name),
	);
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

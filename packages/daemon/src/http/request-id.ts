/** Reads the ID that a caller gives to a request. */

import type {IncomingMessage} from 'node:http';
import {
	makeId,
	notRunFailure,
	type Failure,
	type RequestId,
} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';

/** Maximum length of an ID, in characters. */
const maxRequestIdLength = 256;

/** Visible characters of ASCII, with spaces between them. */
const requestIdPattern = /^[!-~](?:[ -~]*[!-~])?$/v;

/**
 * Gets the ID of a request, which is passed on as the caller sent it.
 *
 * @param request - The parsed request.
 * @param headerName - The name of the header with the ID, in lower case.
 * @returns The ID; a new one if the caller sent none or one that cannot be passed on.
 */
export function getRequestId(
	request: IncomingMessage,
	headerName: string,
): RequestId {
	const value = request.headers[headerName];
	return makeId<RequestId>(
		typeof value === 'string' && isRequestId(value) ? value : uuidv7(),
	);
}

/**
 * Checks the ID of a request.
 *
 * @param request - The parsed request.
 * @param headerName - The name of the header with the ID, in lower case.
 * @returns Why the request is rejected; undefined if its ID can be passed on or it has none.
 */
export function checkRequestId(
	request: IncomingMessage,
	headerName: string,
): Failure | undefined {
	const values = request.headersDistinct[headerName] ?? [];
	if (values.length > 1) {
		return notRunFailure(
			'bad-request',
			`The request has ${values.length} headers "${headerName}".`,
		);
	}

	return values.every((value) => isRequestId(value))
		? undefined
		: notRunFailure(
				'bad-request',
				`The header "${headerName}" must have 1 to ${maxRequestIdLength} characters of ASCII; it has ${values[0]!.length} characters.`,
			);
}

/** Checks whether an ID can be passed on unchanged in a header. */
function isRequestId(text: string): boolean {
	return text.length <= maxRequestIdLength && requestIdPattern.test(text);
}

/** The headers that an intermediary passes on, as RFC 9110 rules them. */

import type {IncomingHttpHeaders} from 'node:http';

/** Headers of a message, without those of the connection. */
export type MessageHeaders = Record<string, string | string[]>;

const viaName = '1.1 bilberryscale';
const connectionHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);
const requestOnlyHeaders = new Set(['host', 'content-length', 'expect']);

/**
 * Gets the headers of a request for the target.
 *
 * @param headers - The headers as the caller sent them.
 * @returns The headers to pass on, `Via` included.
 */
export function getForwardedHeaders(
	headers: IncomingHttpHeaders,
): MessageHeaders {
	return addVia(keepHeaders(headers, requestOnlyHeaders));
}

/**
 * Gets the headers of an answer for the caller.
 *
 * @param headers - The headers as the target sent them.
 * @returns The headers to pass on, `Via` included.
 */
export function getReturnedHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): MessageHeaders {
	return addVia(keepHeaders(headers, new Set()));
}

function keepHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
	unwanted: ReadonlySet<string>,
): MessageHeaders {
	const listed = String(headers.connection ?? '')
		.split(',')
		.map((name) => name.trim().toLowerCase());
	const dropped = new Set([...connectionHeaders, ...unwanted, ...listed]);
	const kept: MessageHeaders = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}

function addVia(headers: MessageHeaders): MessageHeaders {
	const former = headers.via;
	headers.via =
		former === undefined ? viaName : `${String(former)}, ${viaName}`;
	return headers;
}

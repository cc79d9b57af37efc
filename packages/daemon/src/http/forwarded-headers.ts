/** Header forwarding by an intermediary, after RFC 9110. */

import type {IncomingHttpHeaders} from 'node:http';

/** Headers of a message without hop-by-hop headers. */
export type MessageHeaders = Record<string, string | string[]>;

const viaEntry = '1.1 bilberryscale';
const connectionHeaders = [
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
];
const droppedFromResponses = new Set(connectionHeaders);
const droppedFromRequests = new Set([
	...connectionHeaders,
	'host',
	'content-length',
	'expect',
]);
/** Values of `Connection` that list no further header to drop. */
const optionsWithoutHeader = new Set(['', 'close', 'keep-alive']);

/**
 * Gets the request headers to forward to a target.
 *
 * @param headers - The headers that the caller sent.
 * @returns The end-to-end headers, including `Via`.
 */
export function getForwardedHeaders(
	headers: IncomingHttpHeaders,
): MessageHeaders {
	return addVia(filterHeaders(headers, droppedFromRequests));
}

/**
 * Gets the response headers to forward to a caller.
 *
 * @param headers - The headers that the target sent.
 * @returns The end-to-end headers, including `Via`.
 */
export function getResponseHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): MessageHeaders {
	return addVia(filterHeaders(headers, droppedFromResponses));
}

function filterHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
	droppedByDefault: ReadonlySet<string>,
): MessageHeaders {
	const dropped = addConnectionHeaders(droppedByDefault, headers.connection);
	const kept: MessageHeaders = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}

/** Adds the headers that `Connection` lists to those that are dropped. */
function addConnectionHeaders(
	dropped: ReadonlySet<string>,
	connection: string | string[] | undefined,
): ReadonlySet<string> {
	const options = String(connection ?? '').toLowerCase();
	if (optionsWithoutHeader.has(options)) {
		return dropped;
	}

	const listed = options.split(',').map((name) => name.trim());
	return new Set([...dropped, ...listed]);
}

function addVia(headers: MessageHeaders): MessageHeaders {
	const existingVia = headers.via;
	headers.via =
		existingVia === undefined
			? viaEntry
			: `${String(existingVia)}, ${viaEntry}`;
	return headers;
}

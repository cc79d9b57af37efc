/** The headers that an intermediary passes on, as RFC 9110 rules them. */

import type {IncomingHttpHeaders} from 'node:http';

/** Headers of a message, without those of the connection. */
export type MessageHeaders = Record<string, string | string[]>;

const viaName = '1.1 bilberryscale';
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
const droppedFromAnswers = new Set(connectionHeaders);
const droppedFromRequests = new Set([
	...connectionHeaders,
	'host',
	'content-length',
	'expect',
]);
/** Values of `Connection` that name no header. */
const plainOptions = new Set(['', 'close', 'keep-alive']);

/**
 * Gets the headers of a request for the target.
 *
 * @param headers - The headers as the caller sent them.
 * @returns The headers to pass on, `Via` included.
 */
export function getForwardedHeaders(
	headers: IncomingHttpHeaders,
): MessageHeaders {
	return addVia(keepHeaders(headers, droppedFromRequests));
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
	return addVia(keepHeaders(headers, droppedFromAnswers));
}

function keepHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
	usuallyDropped: ReadonlySet<string>,
): MessageHeaders {
	const dropped = addListed(usuallyDropped, headers.connection);
	const kept: MessageHeaders = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}

/** Adds the headers that `Connection` names, if it names any. */
function addListed(
	dropped: ReadonlySet<string>,
	connection: string | string[] | undefined,
): ReadonlySet<string> {
	const options = String(connection ?? '').toLowerCase();
	if (plainOptions.has(options)) {
		return dropped;
	}

	const listed = options.split(',').map((name) => name.trim());
	return new Set([...dropped, ...listed]);
}

function addVia(headers: MessageHeaders): MessageHeaders {
	const former = headers.via;
	headers.via =
		former === undefined ? viaName : `${String(former)}, ${viaName}`;
	return headers;
}

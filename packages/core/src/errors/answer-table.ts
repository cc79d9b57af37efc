/** The one table from error kind to answer. */

import type {ErrorKind} from './error-kind.js';

/** How an error kind is answered over HTTP. */
export type ErrorAnswer = {
	/** The HTTP status code. */
	readonly status: number;
	/** The short title of the problem document. */
	readonly title: string;
	/** When coming back helps, in milliseconds; undefined if it does not. */
	readonly retryAfterMs: number | undefined;
};

const soonMs = 1000;
const laterMs = 2000;

/** The answer for each error kind. */
export const answerTable: Readonly<Record<ErrorKind, ErrorAnswer>> = {
	'bad-request': answer(400, 'The request is malformed'),
	'method-unsupported': answer(501, 'The method is not passed on'),
	'header-too-large': answer(431, 'The header is too large'),
	'body-too-large': answer(413, 'The body is too large'),
	'body-timeout': answer(408, 'The body came too slowly'),
	'service-unknown': answer(404, 'The service is unknown'),
	'class-unknown': answer(400, 'The class of caller is unknown'),
	'key-invalid': answer(400, 'The idempotency key is not a UUIDv7'),
	'key-conflict': answer(422, 'The key was used for another request'),
	'key-too-old': answer(409, 'The key is too old to be run'),
	'key-from-future': answer(400, 'The key is dated in the future'),
	'still-running': answer(409, 'The request is still running', soonMs),
	'outcome-unknown': answer(409, 'Whether the request ran is not known'),
	'records-full': answer(503, 'No room to remember the request', laterMs),
	'no-tenure': answer(503, 'No host may run this key now', soonMs),
	'home-unreachable': answer(503, 'The home of the key is silent', soonMs),
	'request-barred': answer(422, 'The request crashes targets', 60_000),
	'not-ready': answer(503, 'The host is not ready', soonMs),
	'shutting-down': answer(503, 'The host is shutting down', soonMs),
	'over-capacity': answer(503, 'The service is full', soonMs),
	'queue-timeout': answer(503, 'The wait in the queue was too long', soonMs),
	'no-target': answer(503, 'No target can take the request', soonMs),
	'target-refused': answer(503, 'The targets refuse work', soonMs),
	'target-unreachable': answer(502, 'No target could be reached', soonMs),
	'target-failed': answer(502, 'The target failed'),
	'deadline-exceeded': answer(504, 'The deadline has passed'),
	internal: answer(500, 'The entry host failed'),
};

function answer(
	status: number,
	title: string,
	retryAfterMs?: number,
): ErrorAnswer {
	return {status, title, retryAfterMs};
}

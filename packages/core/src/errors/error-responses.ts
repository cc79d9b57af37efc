/** Maps each error kind to its HTTP response. */

import type {ErrorKind} from './error-kind.js';

/** The HTTP response for an error kind. */
export type ErrorResponse = {
	/** The HTTP status code. */
	readonly status: number;
	/** The title of the problem document. */
	readonly title: string;
	/** The delay after which a retry may succeed, in milliseconds; undefined if a retry does not help. */
	readonly retryAfterMs: number | undefined;
};

const shortRetryMs = 1000;
const longRetryMs = 2000;

/** The response for each error kind. */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
	'bad-request': response(400, 'The request is malformed'),
	'method-unsupported': response(501, 'The method is not passed on'),
	'header-too-large': response(431, 'The header is too large'),
	'body-too-large': response(413, 'The body is too large'),
	'body-timeout': response(408, 'The body came too slowly'),
	'service-unknown': response(404, 'The service is unknown'),
	'account-unknown': response(401, 'The client account is unknown'),
	'account-rate-exceeded': response(
		429,
		'The client account is over its rate limit',
		shortRetryMs,
	),
	'accounts-outdated': response(
		503,
		'The client accounts may be outdated',
		shortRetryMs,
	),
	'class-unknown': response(400, 'The class of caller is unknown'),
	'key-invalid': response(400, 'The idempotency key is not a UUIDv7'),
	'key-conflict': response(422, 'The key was used for another request'),
	'key-too-old': response(409, 'The key is too old to be run'),
	'key-from-future': response(400, 'The key is dated in the future'),
	'still-running': response(409, 'The request is still running', shortRetryMs),
	'outcome-unknown': response(409, 'Whether the request ran is not known'),
	'records-full': response(503, 'No room to remember the request', longRetryMs),
	'no-tenure': response(503, 'No host may run this key now', shortRetryMs),
	'home-unreachable': response(
		503,
		'The home of the key is silent',
		shortRetryMs,
	),
	'request-barred': response(422, 'The request crashes targets', 60_000),
	'not-ready': response(503, 'The host is not ready', shortRetryMs),
	'shutting-down': response(503, 'The host is shutting down', shortRetryMs),
	'over-capacity': response(503, 'The service is full', shortRetryMs),
	'queue-timeout': response(
		503,
		'The wait in the queue was too long',
		shortRetryMs,
	),
	'no-target': response(503, 'No target can take the request', shortRetryMs),
	'target-refused': response(503, 'The targets refuse work', shortRetryMs),
	'target-unreachable': response(
		502,
		'No target could be reached',
		shortRetryMs,
	),
	'target-failed': response(502, 'The target failed'),
	'deadline-exceeded': response(504, 'The deadline has passed'),
	internal: response(500, 'The entry host failed'),
};

function response(
	status: number,
	title: string,
	retryAfterMs?: number,
): ErrorResponse {
	return {status, title, retryAfterMs};
}

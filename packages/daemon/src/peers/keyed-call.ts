/** A non-idempotent call with its idempotency key. */

import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {IdempotencyKey, RequestId} from '@bilberryscale/core';

/** A keyed call with its complete body, so that it can be forwarded. */
export type KeyedCall = {
	readonly requestId: RequestId;
	readonly key: IdempotencyKey;
	/** Whether this host has just generated the key. */
	readonly isNew: boolean;
	readonly method: string;
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Buffer;
	/** The deadline on this host's monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
};

/**
 * Computes the digest of the method, URL and body.
 *
 * @param call - The call.
 * @returns The digest; the same for every retry of one request by its caller.
 */
export function getFingerprint(call: KeyedCall): string {
	return createHash('sha256')
		.update(`${call.method} ${call.url}\n`)
		.update(call.body)
		.digest('base64');
}

/** A non-idempotent call under its key, wherever it is run. */

import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {IdempotencyKey, RequestId} from '@bilberryscale/core';

/** The call with its whole body. */
export type KeyedCall = {
	readonly requestId: RequestId;
	readonly key: IdempotencyKey;
	/** Whether this host has just made the key. */
	readonly isNew: boolean;
	readonly method: string;
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Buffer;
	/** The deadline on this host's monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
};

/**
 * Gets the digest of what the caller asked for.
 *
 * @param call - The call.
 * @returns The digest; equal for resends of one request.
 */
export function getFingerprint(call: KeyedCall): string {
	return createHash('sha256')
		.update(`${call.method} ${call.url}\n`)
		.update(call.body)
		.digest('base64');
}

/** Drops the body of a response that nobody uses. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import type {Connection} from '@bilberryscale/daemon/edge';

/** A longer body is not read to its end, in bytes. */
const defaultMaxBytes = 65_536;

/**
 * Reads the rest of a response, so that its connection can be reused, but gives up on a long one.
 *
 * @param body - The body.
 * @param connection - The connection that it comes on.
 * @param maxBytes - How much of it is read; 64 KiB by default.
 */
export function discardBody(
	body: Buffer | Readable,
	connection: Connection | undefined,
	maxBytes = defaultMaxBytes,
): void {
	if (Buffer.isBuffer(body)) {
		return;
	}

	let size = 0;
	body.on('error', () => undefined);
	body.on('data', (chunk: Buffer) => {
		size += chunk.length;
		if (size > maxBytes && !body.destroyed) {
			connection?.reportUnusedBody(size);
			body.destroy();
		}
	});
}

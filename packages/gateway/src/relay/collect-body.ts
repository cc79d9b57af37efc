/** Buffers the body of a target's response, so that an incomplete one is not passed on. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';

/** The largest body of a target's response that is buffered until it is complete, in bytes. */
const maxBufferedBytes = 1_048_576;

/**
 * Collects a body up to a size limit.
 *
 * @param body - The body.
 * @param onComplete - Called with all bytes when the body is complete.
 * @param onOversized - Called with the stream if the body exceeds the limit; the stream holds all of the body.
 * @param maxBytes - The limit, in bytes.
 */
export function collectBody(
	body: Readable,
	onComplete: (bytes: Buffer) => void,
	onOversized: (body: Readable) => void,
	maxBytes = maxBufferedBytes,
): void {
	const chunks: Buffer[] = [];
	let size = 0;
	const onData = (chunk: Buffer) => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > maxBytes) {
			body.pause();
			body.off('data', onData);
			body.off('end', onEnd);
			body.unshift(Buffer.concat(chunks));
			onOversized(body);
		}
	};

	const onEnd = () => {
		onComplete(Buffer.concat(chunks));
	};

	body.on('data', onData);
	body.once('end', onEnd);
}

/** Collects the body of a target's answer, so that a broken one is not passed on. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';

/** The largest body that is held back until it is whole, in bytes. */
const mostHeldBytes = 1_048_576;

/**
 * Collects a body up to a bound.
 *
 * @param body - The body.
 * @param onWhole - Takes the bytes when the body has ended well.
 * @param onLarge - Takes what came so far, the rest still in the stream.
 */
export function collectBody(
	body: Readable,
	onWhole: (bytes: Buffer) => void,
	onLarge: (rest: Readable) => void,
): void {
	const chunks: Buffer[] = [];
	let size = 0;
	const onData = (chunk: Buffer) => {
		chunks.push(chunk);
		size += chunk.length;
		if (size > mostHeldBytes) {
			body.pause();
			body.off('data', onData);
			body.off('end', onEnd);
			body.unshift(Buffer.concat(chunks));
			onLarge(body);
		}
	};

	const onEnd = () => {
		onWhole(Buffer.concat(chunks));
	};

	body.on('data', onData);
	body.once('end', onEnd);
}

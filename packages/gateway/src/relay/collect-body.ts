/** Buffers the body of a target's response, so that an incomplete one is not passed on. */

import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {
	ByteCollector,
	processByteBudget,
	type ByteLease,
} from '@bilberryscale/daemon/edge';

/** Whom to tell of a body, and its limits. */
export type BodyCollection = {
	/** Called with all bytes when the body is complete. */
	readonly onComplete: (bytes: Buffer) => void;
	/** Called with the stream if the body exceeds the limit; the stream holds all of the body. */
	readonly onOversized: (body: Readable) => void;
	/** The limit, in bytes; 1 MiB by default. */
	readonly maxBytes?: number;
	/** Accounts for the memory that the body holds. */
	readonly lease?: ByteLease | undefined;
	/** Whether a body may go on as a stream long before the limit, while messages hold much of the memory that they may. */
	readonly canStreamEarly?: boolean;
};

/** The largest body of a target's response that is buffered until it is complete, in bytes. */
const maxBufferedBytes = 1_048_576;
/** The same while messages hold much of the memory that they may, in bytes. */
const scarceBufferedBytes = 65_536;

/**
 * Collects a body up to a size limit.
 *
 * @param body - The body.
 * @param collection - Whom to tell of it, and its limits.
 */
export function collectBody(
	body: Readable,
	{
		onComplete,
		onOversized,
		maxBytes = maxBufferedBytes,
		lease,
		canStreamEarly = false,
	}: BodyCollection,
): void {
	const collector = new ByteCollector();
	const onData = (chunk: Buffer) => {
		const {cost} = collector;
		collector.add(chunk);
		lease?.add(collector.cost - cost);
		const isEarly =
			canStreamEarly &&
			collector.length > scarceBufferedBytes &&
			processByteBudget.isScarce;
		if (isEarly || collector.length > maxBytes) {
			body.pause();
			stop();
			for (const part of collector.takeParts().toReversed()) {
				body.unshift(part);
			}

			onOversized(body);
		}
	};

	const onEnd = () => {
		stop();
		onComplete(collector.take());
	};

	const onClose = () => {
		lease?.add(-collector.cost);
	};

	const stop = () => {
		body.off('data', onData);
		body.off('end', onEnd);
		body.off('close', onClose);
	};

	body.on('data', onData);
	body.once('end', onEnd);
	body.once('close', onClose);
}

/** Runs a transfer that ends when it makes too little progress. */

import {Buffer} from 'node:buffer';
import {ProgressLimit, type ProgressLimitOptions} from './progress-limit.js';

/** What a transfer needs to be limited. */
export type LimitedTransfer = {
	/** Aborts when the transfer has to end, with the reason. */
	readonly signal: AbortSignal;
	/**
	 * Collects a body that has begun to come.
	 *
	 * @param body - The body.
	 * @returns Its text.
	 */
	readonly collectText: (body: AsyncIterable<Uint8Array>) => Promise<string>;
};

/**
 * Runs a transfer under a limit that follows its progress.
 *
 * @param options - The clock and the limits.
 * @param run - Runs the transfer.
 * @returns What it returns; rejects with its error, or with the reason for its end.
 */
export async function limitTransfer<Result>(
	options: Omit<ProgressLimitOptions, 'onExpired'>,
	run: (transfer: LimitedTransfer) => Promise<Result>,
): Promise<Result> {
	const controller = new AbortController();
	const limit = new ProgressLimit({
		...options,
		onExpired(reason) {
			controller.abort(new Error(reason));
		},
	});
	try {
		return await run({
			signal: controller.signal,
			async collectText(body) {
				limit.begin();
				const chunks: Uint8Array[] = [];
				for await (const chunk of body) {
					limit.addBytes(chunk.length);
					chunks.push(chunk);
				}

				return Buffer.concat(chunks).toString();
			},
		});
	} finally {
		limit.stop();
	}
}

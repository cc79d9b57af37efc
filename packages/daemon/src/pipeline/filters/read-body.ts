/** Reads a request's body before a target is taken for it. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {notRun, type Clock, type Failure} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Filter} from '../filter.js';

/** The bounds of reading. */
export type ReadBodyOptions = {
	readonly clock: Clock;
	/** How long a caller may send nothing, in milliseconds. */
	readonly idleMs: number;
};

/**
 * Makes the filter that reads the whole body, within the service's bound.
 *
 * @remarks A slow caller holds no target this way, and a truthful refusal by a
 * target can be followed by another send.
 * @param options - The bounds of reading.
 * @returns The filter.
 */
export function makeReadBodyFilter(options: ReadBodyOptions): Filter {
	return async (exchange, next) => {
		const {dispatcher} = exchange.getIdentityOrThrow();
		const {bodyBytes} = dispatcher.service.limits;
		const {body, headers} = exchange.incoming;
		if (Number(headers['content-length'] ?? 0) > bodyBytes) {
			return Err(describeOversize(bodyBytes));
		}

		const hasBody =
			headers['content-length'] !== undefined ||
			headers['transfer-encoding'] !== undefined;
		const bytes = hasBody
			? await readAll(body, bodyBytes, options)
			: Ok(Buffer.alloc(0));
		if (bytes.isErr()) {
			return bytes;
		}

		exchange.bodyBytes = bytes.value;
		return next();
	};
}

async function readAll(
	body: Readable,
	limitBytes: number,
	options: ReadBodyOptions,
): Promise<Result<Buffer, Failure>> {
	const {clock, idleMs} = options;
	return new Promise((resolve) => {
		const chunks: Buffer[] = [];
		let size = 0;
		const finish = (result: Result<Buffer, Failure>) => {
			cancelIdle();
			body.removeAllListeners('data');
			resolve(result);
		};

		const startIdle = () =>
			clock.schedule(idleMs, () => {
				body.pause();
				finish(
					Err(notRun('body-timeout', `No part of the body in ${idleMs} ms.`)),
				);
			});
		let cancelIdle = startIdle();
		body.on('data', (chunk: Buffer) => {
			cancelIdle();
			size += chunk.length;
			if (size > limitBytes) {
				body.pause();
				finish(Err(describeOversize(limitBytes)));
				return;
			}

			chunks.push(chunk);
			cancelIdle = startIdle();
		});
		body.once('end', () => {
			finish(Ok(Buffer.concat(chunks)));
		});
		body.once('error', (error) => {
			finish(Err(notRun('bad-request', `The body broke: ${error.message}`)));
		});
	});
}

function describeOversize(limitBytes: number): Failure {
	return notRun('body-too-large', `The body has over ${limitBytes} bytes.`);
}

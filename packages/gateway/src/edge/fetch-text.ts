/** One request on one connection, its answer as a text. */

import {Buffer} from 'node:buffer';
import type {Clock} from '@bilberryscale/core';
import {TargetRequest, type Connection} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import {collectBody} from '../relay/collect-body.js';

/** A request. */
export type TextRequest = {
	readonly connection: Connection;
	readonly clock: Clock;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** A JSON text to send. */
	readonly body?: string;
	/** How long the whole answer may take, in milliseconds. */
	readonly timeoutMs: number;
};

/** An answer. */
export type TextResponse = {
	readonly status: number;
	readonly text: string;
};

/**
 * Sends a request and reads its whole answer.
 *
 * @param request - The request.
 * @returns The answer, or why there is none; the connection is useless then.
 */
export async function fetchText(
	request: TextRequest,
): Promise<Result<TextResponse, string>> {
	const {connection, clock, method, path, body, timeoutMs} = request;
	return new Promise((resolve) => {
		let response: TextResponse | undefined;
		const cancelTimer = clock.schedule(timeoutMs, () => {
			exchange.cancel(new Error(`no answer in ${timeoutMs} ms`));
		});
		const exchange = new TargetRequest({
			onAnswer({status, body: answer}) {
				if (Buffer.isBuffer(answer)) {
					response = {status, text: answer.toString()};
					return;
				}

				answer.on('error', () => undefined);
				collectBody(
					answer,
					(bytes) => {
						cancelTimer();
						resolve(Ok({status, text: bytes.toString()}));
					},
					() => {
						exchange.cancel(new Error('the answer is too large'));
					},
				);
			},
			onEnd(error) {
				cancelTimer();
				if (error !== undefined) {
					resolve(Err(error.message));
				} else if (response !== undefined) {
					resolve(Ok(response));
				}
			},
		});
		connection.dispatch(
			{
				method,
				path,
				body: body ?? null,
				...(body !== undefined && {
					headers: {'content-type': 'application/json'},
				}),
			},
			exchange,
		);
	});
}

/** Reads a request body before a target is acquired. */

import {type Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {notRunFailure, type Clock, type Failure} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {ByteLease} from '../../buffers/byte-budget.js';
import {ByteCollector} from '../../buffers/byte-collector.js';
import type {Filter} from '../filter.js';

/** The limits that apply to every body. */
export type ReadBodyOptions = {
	readonly clock: Clock;
	/** How long a caller may pause, in milliseconds. */
	readonly idleMs: number;
};

type BodyResult = Result<Buffer, Failure>;

/** The limits of one body. */
export type BodyLimits = ReadBodyOptions & {
	readonly limitBytes: number;
	/** When the body must be complete, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** Accounts for the memory that the body holds. */
	readonly lease?: ByteLease | undefined;
};

/**
 * Makes the filter that reads the complete body, up to the service's size limit.
 *
 * @remarks A slow caller then occupies no target, and a request that a target
 * refused can be retried.
 * @param options - The limits that apply to every body.
 * @returns The filter.
 */
export function makeReadBodyFilter(options: ReadBodyOptions): Filter {
	return async (exchange, next) => {
		const {headers, body} = exchange.incoming;
		const length = headers['content-length'];
		if (length === undefined && headers['transfer-encoding'] === undefined) {
			return next();
		}

		const {dispatcher, deadlineMs} = exchange.getIdentityOrThrow();
		const limitBytes = dispatcher.service.limits.bodyBytes;
		if (Number(length ?? 0) > limitBytes) {
			return Err(makeOversizeFailure(limitBytes));
		}

		exchange.incoming.requestBody?.();
		const {lease} = exchange.incoming;
		const limits = {...options, limitBytes, deadlineMs, lease};
		const bytes = await new BodyReader(body, limits).read();
		if (bytes.isErr()) {
			return bytes;
		}

		exchange.bodyBytes = bytes.value;
		return next();
	};
}

/** Reads one body within its limits. */
export class BodyReader {
	readonly #body: Readable;
	readonly #limits: BodyLimits;
	readonly #bytes = new ByteCollector();
	#expiresAtMs = 0;
	#cancelTimer: () => void = () => undefined;
	#resolve: (result: BodyResult) => void = () => undefined;

	/**
	 * @param body - The body stream.
	 * @param limits - The limits.
	 */
	constructor(body: Readable, limits: BodyLimits) {
		this.#body = body;
		this.#limits = limits;
	}

	/**
	 * Reads the complete body.
	 *
	 * @returns The bytes, or the failure if a limit was exceeded or the body was aborted.
	 */
	async read(): Promise<BodyResult> {
		return new Promise((resolve) => {
			this.#resolve = resolve;
			this.#resetIdleTimeout();
			this.#startTimer();
			this.#body.on('data', this.#onData);
			this.#body.once('end', this.#onEnd);
			this.#body.once('error', this.#onAborted);
			this.#body.once('close', this.#onAborted);
		});
	}

	readonly #onData = (chunk: Buffer): void => {
		if (this.#bytes.length + chunk.length > this.#limits.limitBytes) {
			this.#finish(Err(makeOversizeFailure(this.#limits.limitBytes)));
			return;
		}

		const {cost} = this.#bytes;
		this.#bytes.add(chunk);
		this.#resetIdleTimeout();
		this.#limits.lease?.add(this.#bytes.cost - cost);
	};

	readonly #onEnd = (): void => {
		this.#finish(Ok(this.#bytes.take()));
	};

	readonly #onAborted = (): void => {
		this.#finish(Err(notRunFailure('bad-request', 'The body broke off.')));
	};

	#resetIdleTimeout(): void {
		const {clock, idleMs, deadlineMs} = this.#limits;
		this.#expiresAtMs = Math.min(clock.monotonicMs() + idleMs, deadlineMs);
	}

	/** Schedules the timeout; reschedules it if data arrived in the meantime. */
	#startTimer(): void {
		const {clock} = this.#limits;
		const remainingMs = this.#expiresAtMs - clock.monotonicMs();
		this.#cancelTimer = clock.schedule(remainingMs, () => {
			if (clock.monotonicMs() < this.#expiresAtMs) {
				this.#startTimer();
			} else {
				this.#finish(Err(makeTimeoutFailure(this.#limits)));
			}
		});
	}

	#finish(result: BodyResult): void {
		this.#cancelTimer();
		this.#body.off('data', this.#onData);
		this.#body.off('end', this.#onEnd);
		this.#body.off('close', this.#onAborted);
		this.#resolve(result);
	}
}

function makeOversizeFailure(limitBytes: number): Failure {
	return notRunFailure(
		'body-too-large',
		`The body has over ${limitBytes} bytes.`,
	);
}

function makeTimeoutFailure({clock, deadlineMs, idleMs}: BodyLimits): Failure {
	return clock.monotonicMs() < deadlineMs
		? notRunFailure('body-timeout', `No part of the body came in ${idleMs} ms.`)
		: notRunFailure('body-timeout', 'The body was not whole at the deadline.');
}

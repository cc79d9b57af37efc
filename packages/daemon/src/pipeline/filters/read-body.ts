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

type BodyResult = Result<Buffer, Failure>;

/** The bounds of one body. */
export type BodyBounds = ReadBodyOptions & {
	readonly limitBytes: number;
	/** When the body must be whole, on the monotonic clock. */
	readonly deadlineMs: number;
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
		const {headers, body} = exchange.incoming;
		const length = headers['content-length'];
		if (length === undefined && headers['transfer-encoding'] === undefined) {
			return next();
		}

		const {dispatcher, deadlineMs} = exchange.getIdentityOrThrow();
		const limitBytes = dispatcher.service.limits.bodyBytes;
		if (Number(length ?? 0) > limitBytes) {
			return Err(describeOversize(limitBytes));
		}

		const bounds = {...options, limitBytes, deadlineMs};
		const bytes = await new BodyReader(body, bounds).read();
		if (bytes.isErr()) {
			return bytes;
		}

		exchange.bodyBytes = bytes.value;
		return next();
	};
}

/** Reads one body within its bounds. */
export class BodyReader {
	readonly #body: Readable;
	readonly #bounds: BodyBounds;
	readonly #chunks: Buffer[] = [];
	#size = 0;
	#idleUntilMs = 0;
	#cancelTimer: () => void = () => undefined;
	#resolve: (result: BodyResult) => void = () => undefined;

	/**
	 * @param body - The body.
	 * @param bounds - Its bounds.
	 */
	constructor(body: Readable, bounds: BodyBounds) {
		this.#body = body;
		this.#bounds = bounds;
	}

	/**
	 * Reads the body to its end.
	 *
	 * @returns The bytes, or which bound was passed.
	 */
	async read(): Promise<BodyResult> {
		return new Promise((resolve) => {
			this.#resolve = resolve;
			this.#extend();
			this.#startTimer();
			this.#body.on('data', this.#onData);
			this.#body.once('end', this.#onEnd);
			this.#body.once('error', this.#onBroken);
			this.#body.once('close', this.#onBroken);
		});
	}

	readonly #onData = (chunk: Buffer): void => {
		this.#size += chunk.length;
		if (this.#size > this.#bounds.limitBytes) {
			this.#finish(Err(describeOversize(this.#bounds.limitBytes)));
			return;
		}

		this.#chunks.push(chunk);
		this.#extend();
	};

	readonly #onEnd = (): void => {
		this.#finish(Ok(Buffer.concat(this.#chunks)));
	};

	readonly #onBroken = (): void => {
		this.#finish(Err(notRun('bad-request', 'The body broke off.')));
	};

	#extend(): void {
		const {clock, idleMs, deadlineMs} = this.#bounds;
		this.#idleUntilMs = Math.min(clock.monotonicMs() + idleMs, deadlineMs);
	}

	/** Runs one timer for the whole body; it starts again if bytes came. */
	#startTimer(): void {
		const {clock} = this.#bounds;
		const leftMs = this.#idleUntilMs - clock.monotonicMs();
		this.#cancelTimer = clock.schedule(leftMs, () => {
			if (clock.monotonicMs() < this.#idleUntilMs) {
				this.#startTimer();
			} else {
				this.#finish(Err(describeSlowness(this.#bounds)));
			}
		});
	}

	#finish(result: BodyResult): void {
		this.#cancelTimer();
		this.#body.off('data', this.#onData);
		this.#body.off('end', this.#onEnd);
		this.#body.off('close', this.#onBroken);
		this.#resolve(result);
	}
}

function describeOversize(limitBytes: number): Failure {
	return notRun('body-too-large', `The body has over ${limitBytes} bytes.`);
}

function describeSlowness({clock, deadlineMs, idleMs}: BodyBounds): Failure {
	return clock.monotonicMs() < deadlineMs
		? notRun('body-timeout', `No part of the body came in ${idleMs} ms.`)
		: notRun('body-timeout', 'The body was not whole at the deadline.');
}

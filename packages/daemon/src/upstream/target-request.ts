/** One request on a connection to a target, and its answer. */

import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';

/** The head of a target's answer and its body. */
export type TargetAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** The bytes if they came whole with the head; else a stream. */
	readonly body: Readable | Buffer;
	/** Whether only the end of the connection ends it, so that half may look whole. */
	readonly isOpenEnded: boolean;
};

/** Takes what happens to the request. */
export type TargetRequestEvents = {
	/** The head has come, and with it all of a short body. */
	readonly onAnswer: (answer: TargetAnswer) => void;
	/** The request ended: wholly answered, or with why it is not. */
	readonly onEnd: (error: Error | undefined) => void;
};

const finalStatus = 200;
/** Answers that are whole with their head, whatever length they state. */
const bodilessStatuses = new Set([204, 304]);

/** A request on its way. */
export class TargetRequest implements Dispatcher.DispatchHandler {
	/** Whether a connection may have taken bytes of the request. */
	isWritten = false;
	/** Gets the error of the connection, if it had one; set by the connection. */
	getSocketError: () => Error | undefined = () => undefined;
	readonly #events: TargetRequestEvents;
	#controller: Dispatcher.DispatchController | undefined;
	#cancelReason: Error | undefined;
	#chunks: Buffer[] = [];
	#body: Readable | undefined;
	#hasAnswered = false;
	#hasEnded = false;

	/**
	 * @param events - Takes what happens to the request.
	 */
	constructor(events: TargetRequestEvents) {
		this.#events = events;
	}

	/**
	 * Gives the request up; the target hears of it by the closed connection.
	 *
	 * @param reason - Why it is given up.
	 */
	cancel(reason: Error): void {
		if (this.#hasEnded) {
			return;
		}

		this.#cancelReason = reason;
		this.#controller?.abort(reason);
		this.#fail(reason);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#cancelReason === undefined) {
			this.isWritten = true;
		} else {
			controller.abort(this.#cancelReason);
		}
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		if (status >= finalStatus) {
			this.#hasEnded = bodilessStatuses.has(status);
			queueMicrotask(() => {
				this.#answer(status, headers);
			});
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		if (this.#body === undefined) {
			this.#chunks.push(chunk);
		} else if (!this.#body.push(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.#hasEnded) {
			return;
		}

		const error = this.getSocketError();
		if (error !== undefined) {
			this.#fail(error);
			return;
		}

		this.#hasEnded = true;
		if (this.#hasAnswered) {
			this.#body?.push(null);
			this.#events.onEnd(undefined);
		}
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.#fail(error);
	}

	/** Runs once the bytes that came with the head are parsed. */
	#answer(status: number, headers: IncomingHttpHeaders): void {
		if (this.#hasEnded && this.#hasAnswered) {
			return;
		}

		this.#hasAnswered = true;
		const isOpenEnded = !bodilessStatuses.has(status) && !hasFraming(headers);
		if (this.#hasEnded) {
			const body = joinChunks(this.#chunks);
			this.#events.onAnswer({status, headers, body, isOpenEnded});
			this.#events.onEnd(undefined);
			return;
		}

		this.#body = this.#makeBody();
		this.#events.onAnswer({status, headers, body: this.#body, isOpenEnded});
	}

	#makeBody(): Readable {
		const body = new Readable({
			read: () => {
				this.#controller?.resume();
			},
			destroy: (error, done) => {
				this.cancel(error ?? new Error('the answer is not wanted'));
				done(error);
			},
		});
		for (const chunk of this.#chunks) {
			body.push(chunk);
		}

		this.#chunks = [];
		return body;
	}

	#fail(error: Error): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		this.#hasAnswered = true;
		this.#body?.destroy(error);
		this.#events.onEnd(error);
	}
}

function hasFraming(headers: IncomingHttpHeaders): boolean {
	return (
		headers['content-length'] !== undefined ||
		headers['transfer-encoding'] !== undefined
	);
}

function joinChunks(chunks: readonly Buffer[]): Buffer {
	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

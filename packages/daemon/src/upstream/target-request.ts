/** A request on a connection to a target. */

import {type Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {ByteCollector} from '../buffers/byte-collector.js';
import type {ResponseProgress} from './metered-socket.js';

/** The response of a target. */
export type TargetAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** The bytes if the whole body arrived with the head; otherwise a stream. */
	readonly body: Readable | Buffer;
	/** Whether the body is delimited by the close of the connection, so that a truncated body can look complete. */
	readonly isCloseDelimited: boolean;
};

/** Callbacks for the progress of a request. */
export type TargetRequestEvents = {
	/** Called with the head of the response and, if it arrived with the head, the whole body. */
	readonly onAnswer: (answer: TargetAnswer) => void;
	/** Called when the request ends: with undefined after a complete response, otherwise with the error. */
	readonly onEnd: (error: Error | undefined) => void;
	/** Called when the connection is open and nothing is written yet; an error that it returns ends the request. */
	readonly onBeforeWrite?: (() => Error | undefined) | undefined;
};

/** The range of valid statuses (RFC 9110, section 15). */
const minStatus = 100;
const maxStatus = 599;
const minFinalStatus = 200;
/** Smaller pieces that come together are passed on as one, in bytes. */
const minPassedBytes = 16_384;
/** Longer bodies are read in turn with those of other connections, in bytes. */
const maxShortLength = 65_536;
/** Statuses whose responses have no body, whatever `Content-Length` they state. */
const bodilessStatuses = new Set([204, 304]);

/** Handles the events that undici reports for a request in flight. */
export class TargetRequest
	implements Dispatcher.DispatchHandler, ResponseProgress
{
	/** Whether bytes of the request may have been written to a connection. */
	isWritten = false;
	/** Gets the socket error of the connection, if any; set by the connection. */
	getSocketError: () => Error | undefined = () => undefined;
	/** Called when the connection starts to send the request; set by the connection. */
	onStart: () => void = () => undefined;
	/** Called when more of the body should be read; set by the connection. */
	onResume: () => void = () => undefined;
	/** The bytes of the body so far, without their framing. */
	bodyLength = 0;
	/** The number of informational responses so far. */
	informationalCount = 0;
	/** Whether the final head has come. */
	hasHead = false;
	/** Whether the head states a short length. */
	hasShortLength = false;
	readonly #events: TargetRequestEvents;
	#controller: Dispatcher.DispatchController | undefined;
	#cancelReason: Error | undefined;
	/** The part of the body that was not passed on yet. */
	readonly #pending = new ByteCollector();
	#isFlushScheduled = false;
	#isBodyFull = false;
	#body: Readable | undefined;
	#hasAnswered = false;
	#hasEnded = false;

	/**
	 * @param events - Callbacks for the progress of the request.
	 */
	constructor(events: TargetRequestEvents) {
		this.#events = events;
	}

	/**
	 * Cancels the request. The target notices by the closed connection.
	 *
	 * @param reason - The error that the request ends with.
	 */
	cancel(reason: Error): void {
		if (this.#hasEnded) {
			return;
		}

		this.#cancelReason = reason;
		this.#controller?.abort(reason);
		this.#fail(reason);
	}

	/** Whether the reader of the body has to catch up before more of it is read. */
	get isPaused(): boolean {
		return this.#isBodyFull && !this.#hasEnded;
	}

	/** Whether the request has ended, with or without a response. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		this.onStart();
		if (this.#cancelReason !== undefined) {
			controller.abort(this.#cancelReason);
			return;
		}

		const error = this.#events.onBeforeWrite?.();
		if (error === undefined) {
			this.isWritten = true;
		} else {
			this.cancel(error);
		}
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		if (status < minStatus || status > maxStatus) {
			this.cancel(new Error(`the answer has the invalid status ${status}`));
			return;
		}

		if (status < minFinalStatus) {
			this.informationalCount++;
		} else {
			this.hasHead = true;
			this.hasShortLength =
				Number(headers['content-length'] ?? Number.NaN) <= maxShortLength;
			this.#hasEnded = bodilessStatuses.has(status);
			queueMicrotask(() => {
				this.#deliverAnswer(status, headers);
			});
		}
	}

	onResponseData(
		_controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		this.bodyLength += chunk.length;
		this.#pending.add(chunk);
		if (this.#body === undefined) {
			return;
		}

		if (this.#pending.length >= minPassedBytes) {
			this.#flush();
		} else if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			queueMicrotask(() => {
				this.#isFlushScheduled = false;
				if (!this.#hasEnded) {
					this.#flush();
				}
			});
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
			this.#flush();
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

	/** Delivers the response, after the bytes that arrived with its head have been parsed. */
	#deliverAnswer(status: number, headers: IncomingHttpHeaders): void {
		if (this.#hasEnded && this.#hasAnswered) {
			return;
		}

		this.#hasAnswered = true;
		const isCloseDelimited =
			!bodilessStatuses.has(status) && !hasBodyFraming(headers);
		if (this.#hasEnded) {
			const body = this.#pending.take();
			this.#events.onAnswer({status, headers, body, isCloseDelimited});
			this.#events.onEnd(undefined);
			return;
		}

		this.#body = this.#makeBody();
		this.#events.onAnswer({
			status,
			headers,
			body: this.#body,
			isCloseDelimited,
		});
	}

	#makeBody(): Readable {
		const body = new Readable({
			read: () => {
				if (this.#isBodyFull) {
					this.#isBodyFull = false;
					this.onResume();
				}
			},
			destroy: (error, done) => {
				this.cancel(error ?? new Error('the response body was discarded'));
				done(error);
			},
		});
		if (this.#pending.length > 0) {
			body.push(this.#pending.take());
		}

		return body;
	}

	/** Passes on what has come of the body. */
	#flush(): void {
		if (this.#body !== undefined && this.#pending.length > 0) {
			this.#isBodyFull = !this.#body.push(this.#pending.take());
		}
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

function hasBodyFraming(headers: IncomingHttpHeaders): boolean {
	return (
		headers['content-length'] !== undefined ||
		headers['transfer-encoding'] !== undefined
	);
}

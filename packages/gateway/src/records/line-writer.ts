/** A non-blocking line writer with a bounded buffer. */

import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {Clock} from '@bilberryscale/core';

/** Size limit of the buffer in bytes, estimated from the length of the strings. */
const maxBufferedBytes = 262_144;
/** Lines are collected for this long and written in one call, in milliseconds. */
const flushIntervalMs = 100;
/** Delay before a write is repeated or a drain checks again, in milliseconds. */
const retryIntervalMs = 20;

/** Writes lines to a file descriptor on the thread pool and drops those that don't fit into the buffer. */
export class LineWriter {
	/** The number of dropped lines; a failed write of several lines counts as one. */
	droppedCount = 0;
	readonly #descriptor: number;
	readonly #clock: Clock;
	#buffered: string[] = [];
	#bufferedBytes = 0;
	#isFlushing = false;

	/**
	 * @param descriptor - The file descriptor.
	 * @param clock - The clock.
	 */
	constructor(descriptor: number, clock: Clock) {
		this.#descriptor = descriptor;
		this.#clock = clock;
	}

	/**
	 * Adds a line to the buffer, or drops it if the buffer is full.
	 *
	 * @param line - The line, including its newline.
	 */
	add(line: string): void {
		if (this.#bufferedBytes + line.length > maxBufferedBytes) {
			this.droppedCount++;
			return;
		}

		this.#buffered.push(line);
		this.#bufferedBytes += line.length;
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			this.#clock.schedule(flushIntervalMs, () => {
				this.#flush();
			});
		}
	}

	/**
	 * Waits until all buffered lines are written.
	 *
	 * @param timeoutMs - The maximum wait, in milliseconds.
	 */
	async drain(timeoutMs: number): Promise<void> {
		const deadlineMs = this.#clock.monotonicMs() + timeoutMs;
		while (this.#isFlushing && this.#clock.monotonicMs() < deadlineMs) {
			await new Promise<void>((resolve) => {
				this.#clock.schedule(retryIntervalMs, resolve);
			});
		}
	}

	#flush(): void {
		const bytes = Buffer.from(this.#buffered.join(''));
		this.#buffered = [];
		this.#bufferedBytes = 0;
		this.#write(bytes);
	}

	#write(bytes: Buffer): void {
		write(this.#descriptor, bytes, (error, written) => {
			if (error?.code === 'EAGAIN') {
				this.#clock.schedule(retryIntervalMs, () => {
					this.#write(bytes);
				});
				return;
			}

			const remaining = error ? undefined : bytes.subarray(written);
			if (error) {
				// The log can't be written any more, so the error can only be counted.
				this.droppedCount++;
			}

			if (remaining !== undefined && remaining.length > 0) {
				this.#write(remaining);
			} else if (this.#buffered.length > 0) {
				this.#flush();
			} else {
				this.#isFlushing = false;
			}
		});
	}
}

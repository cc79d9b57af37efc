/** Writes lines without ever blocking, and drops what does not fit. */

import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {Clock} from '@bilberryscale/core';

/** The lines that wait may hold so much, in bytes. */
const mostWaitingBytes = 262_144;
/** Lines are written together after this time, in milliseconds. */
const flushMs = 100;
const retryMs = 20;

/** Writes to a file descriptor by way of the thread pool. */
export class LineWriter {
	/** How many lines were dropped since the start. */
	droppedCount = 0;
	readonly #descriptor: number;
	readonly #clock: Clock;
	#waiting: string[] = [];
	#waitingBytes = 0;
	#isBusy = false;

	/**
	 * @param descriptor - The file descriptor.
	 * @param clock - The clock.
	 */
	constructor(descriptor: number, clock: Clock) {
		this.#descriptor = descriptor;
		this.#clock = clock;
	}

	/**
	 * Adds a line.
	 *
	 * @param line - The line with its end.
	 */
	add(line: string): void {
		if (this.#waitingBytes + line.length > mostWaitingBytes) {
			this.droppedCount++;
			return;
		}

		this.#waiting.push(line);
		this.#waitingBytes += line.length;
		if (!this.#isBusy) {
			this.#isBusy = true;
			this.#clock.schedule(flushMs, () => {
				this.#flush();
			});
		}
	}

	/**
	 * Waits until all lines are written.
	 *
	 * @param timeoutMs - The longest wait, in milliseconds.
	 */
	async drain(timeoutMs: number): Promise<void> {
		const endMs = this.#clock.monotonicMs() + timeoutMs;
		while (this.#isBusy && this.#clock.monotonicMs() < endMs) {
			await new Promise<void>((resolve) => {
				this.#clock.schedule(retryMs, resolve);
			});
		}
	}

	#flush(): void {
		const bytes = Buffer.from(this.#waiting.join(''));
		this.#waiting = [];
		this.#waitingBytes = 0;
		this.#write(bytes);
	}

	#write(bytes: Buffer): void {
		write(this.#descriptor, bytes, (error, written) => {
			if (error?.code === 'EAGAIN') {
				this.#clock.schedule(retryMs, () => {
					this.#write(bytes);
				});
				return;
			}

			const rest = error ? undefined : bytes.subarray(written);
			if (error) {
				// Nobody reads the log any more; the count is all that is left to tell.
				this.droppedCount++;
			}

			if (rest !== undefined && rest.length > 0) {
				this.#write(rest);
			} else if (this.#waiting.length > 0) {
				this.#flush();
			} else {
				this.#isBusy = false;
			}
		});
	}
}

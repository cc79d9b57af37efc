/** A rate-limited log of events in JSON lines. */

import type {Clock} from '@bilberryscale/core';

/** Dependencies of the log. */
export type EventLogOptions = {
	readonly clock: Clock;
	/** Fields of every line that identify the host and its incarnation. */
	readonly origin: Readonly<Record<string, string>>;
	/** Writes a line, which includes its newline. */
	readonly writeLine: (line: string) => void;
};

/** Additional fields of a line. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Rate limit for lines about requests; a request writes about two lines. */
const maxLinesPerSecond = 400;
const msPerSecond = 1000;

/** Writes one line for each event. */
export class EventLog {
	readonly #options: EventLogOptions;
	#currentSecond = 0;
	#linesInSecond = 0;
	#suppressedCount = 0;

	/**
	 * @param options - The clock, the common fields and the output.
	 */
	constructor(options: EventLogOptions) {
		this.#options = options;
	}

	/**
	 * Writes a line about a request; lines over the rate limit are suppressed.
	 *
	 * @param message - What happened.
	 * @param fields - Details of the event.
	 */
	write(message: string, fields: EventFields): void {
		const second = Math.floor(this.#options.clock.monotonicMs() / msPerSecond);
		if (second !== this.#currentSecond) {
			this.#currentSecond = second;
			this.#linesInSecond = 0;
			this.#reportSuppressed();
		}

		this.#linesInSecond++;
		if (this.#linesInSecond > maxLinesPerSecond) {
			this.#suppressedCount++;
			return;
		}

		this.#writeEvent('info', message, fields);
	}

	/**
	 * Writes a line about the process or its dependencies; it is never suppressed.
	 *
	 * @param message - What happened.
	 * @param fields - Details of the event.
	 */
	writeState(message: string, fields: EventFields = {}): void {
		this.#writeEvent('info', message, fields);
	}

	/**
	 * Writes a warning about an unexpected event; it is never suppressed.
	 *
	 * @param message - What happened.
	 * @param fields - Details of the event.
	 */
	warn(message: string, fields: EventFields): void {
		this.#writeEvent('warn', message, fields);
	}

	#reportSuppressed(): void {
		if (this.#suppressedCount > 0) {
			const count = this.#suppressedCount;
			this.#suppressedCount = 0;
			this.#writeEvent('warn', 'lines suppressed', {count});
		}
	}

	#writeEvent(level: string, message: string, fields: EventFields): void {
		const {clock, origin, writeLine} = this.#options;
		const at = clock.now().toISOString();
		writeLine(
			`${JSON.stringify({at, level, ...origin, message, ...fields})}\n`,
		);
	}
}

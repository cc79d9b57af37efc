/** The log of decisions: JSON lines, bounded in number. */

import type {Clock} from '@bilberryscale/core';

/** What the log works with. */
export type EventLogOptions = {
	readonly clock: Clock;
	/** Names the host and the life of its process in each line. */
	readonly origin: Readonly<Record<string, string>>;
	/** Takes each line with its end. */
	readonly writeLine: (line: string) => void;
};

/** The fields of a line. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Lines about requests a second; a request has about two. */
const linesPerSecond = 400;
const msPerSecond = 1000;

/** Writes one line for each decision. */
export class EventLog {
	readonly #options: EventLogOptions;
	#second = 0;
	#linesInSecond = 0;
	#suppressedCount = 0;

	/**
	 * @param options - Where lines go.
	 */
	constructor(options: EventLogOptions) {
		this.#options = options;
	}

	/**
	 * Writes a line about a request; it is suppressed if there are too many.
	 *
	 * @param message - What happened.
	 * @param fields - What decided it and what came of it.
	 */
	write(message: string, fields: EventFields): void {
		const second = Math.floor(this.#options.clock.monotonicMs() / msPerSecond);
		if (second !== this.#second) {
			this.#second = second;
			this.#linesInSecond = 0;
			this.#tellSuppressed();
		}

		this.#linesInSecond++;
		if (this.#linesInSecond > linesPerSecond) {
			this.#suppressedCount++;
			return;
		}

		this.#emit('info', message, fields);
	}

	/**
	 * Writes a line that is never suppressed, about the process or what it depends on.
	 *
	 * @param message - What happened.
	 * @param fields - What decided it and what came of it.
	 */
	writeState(message: string, fields: EventFields = {}): void {
		this.#emit('info', message, fields);
	}

	/**
	 * Writes a line about something that should not happen.
	 *
	 * @param message - What happened.
	 * @param fields - What led to it.
	 */
	warn(message: string, fields: EventFields): void {
		this.#emit('warn', message, fields);
	}

	#tellSuppressed(): void {
		if (this.#suppressedCount > 0) {
			const count = this.#suppressedCount;
			this.#suppressedCount = 0;
			this.#emit('warn', 'lines suppressed', {count});
		}
	}

	#emit(level: string, message: string, fields: EventFields): void {
		const {clock, origin, writeLine} = this.#options;
		const at = clock.now().toISOString();
		writeLine(
			`${JSON.stringify({at, level, ...origin, message, ...fields})}\n`,
		);
	}
}

/** Limits the time of a transfer by its progress, whatever its length. */

import type {CancelFunction, Clock} from '../clock/clock.js';

/** How slow a transfer may be. */
export type TransferPace = {
	/** How long it may take beyond the time that its bytes allow, in milliseconds; 450 by default. */
	readonly graceMs?: number;
	/** Each byte allows as much time as it takes at this rate; 65,536 by default, slower than any usable link. */
	readonly bytesPerSecond?: number;
};

/** The clock, the limits and whom to tell that one has passed. */
export type ProgressLimitOptions = {
	readonly clock: Clock;
	/** How long the transfer may take to begin, in milliseconds. */
	readonly beginMs: number;
	/** How slow it may be once it has begun. */
	readonly pace?: TransferPace | undefined;
	/** How often longer than that it may take; once by default. */
	readonly patience?: number | undefined;
	/**
	 * Called at most once, when the transfer has to end.
	 *
	 * @param reason - Which limit has passed.
	 */
	readonly onExpired: (reason: string) => void;
};

const defaultGraceMs = 450;
const defaultBytesPerSecond = 65_536;
/** How long a transfer may pause, whatever it has brought before, in milliseconds; as long as the grace if that is longer. */
const maxSilenceMs = 1500;
/** Fewer bytes that take longer are a trickle. */
const minProgress = {bytes: 1024, ms: 200};
const millisecondsPerSecond = 1000;

/**
 * Ends a transfer that does not begin, that pauses for long or that is too slow.
 *
 * @remarks The time allowed grows with the bytes that have come, so that it has no bound of its own: that is the
 * limit of the receiver on the length. Single bytes now and then allow next to nothing, whatever came before.
 */
export class ProgressLimit {
	/** The bytes that have come. */
	receivedBytes = 0;
	readonly #options: ProgressLimitOptions;
	readonly #patience: number;
	readonly #startedAtMs: number;
	#begunAtMs: number | undefined;
	/** When bytes last came, or when the wait for them began. */
	#lastBytesAtMs: number;
	/** How many bytes had come, and when, the last time that enough of them came in a row. */
	#lastProgress: {readonly bytes: number; readonly atMs: number} | undefined;
	/** Since when too few bytes have come to be progress; undefined if there is some, or if none have come. */
	#tricklesSinceMs: number | undefined;
	#cancel: CancelFunction = () => undefined;

	/**
	 * @param options - The clock, the limits and whom to tell that one has passed.
	 */
	constructor(options: ProgressLimitOptions) {
		this.#options = options;
		this.#patience = options.patience ?? 1;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#lastBytesAtMs = this.#startedAtMs;
		this.#schedule();
	}

	/** For how long nothing has come, in milliseconds. */
	get silentMs(): number {
		return this.#options.clock.monotonicMs() - this.#lastBytesAtMs;
	}

	/** Whether the transfer was on its way, so that more time might complete it; single bytes now and then are no progress. */
	get hasProgressed(): boolean {
		return (
			this.#lastProgress !== undefined && this.#tricklesSinceMs === undefined
		);
	}

	/** Records that the transfer has begun; its bytes count from now on. */
	begin(): void {
		this.#begunAtMs ??= this.#options.clock.monotonicMs();
		this.#lastBytesAtMs = this.#options.clock.monotonicMs();
		this.#cancel();
		this.#schedule();
	}

	/**
	 * Records bytes that have come.
	 *
	 * @param count - Their number.
	 */
	addBytes(count: number): void {
		this.receivedBytes += count;
		const nowMs = this.#options.clock.monotonicMs();
		const bytes = this.receivedBytes;
		this.#lastBytesAtMs = nowMs;
		if (bytes - (this.#lastProgress?.bytes ?? 0) >= minProgress.bytes) {
			this.#lastProgress = {bytes, atMs: nowMs};
			this.#tricklesSinceMs = undefined;
			return;
		}

		const isTrickle =
			this.#lastProgress !== undefined &&
			nowMs - this.#lastProgress.atMs >= minProgress.ms;
		if (isTrickle && this.#tricklesSinceMs === undefined) {
			this.#tricklesSinceMs = nowMs;
			this.#cancel();
			this.#schedule();
		}
	}

	/** Ends the limit, because the transfer has ended. */
	stop(): void {
		this.#cancel();
	}

	#getDueMs(): number {
		if (this.#begunAtMs === undefined) {
			return this.#startedAtMs + this.#options.beginMs;
		}

		const {graceMs = defaultGraceMs, bytesPerSecond = defaultBytesPerSecond} =
			this.#options.pace ?? {};
		const byteMs =
			(this.receivedBytes / bytesPerSecond) * millisecondsPerSecond;
		return Math.min(
			this.#begunAtMs + (graceMs + byteMs) * this.#patience,
			this.#lastBytesAtMs + Math.max(maxSilenceMs, graceMs) * this.#patience,
			(this.#tricklesSinceMs ?? Number.POSITIVE_INFINITY) + graceMs,
		);
	}

	/** Waits for the limit as it is now; bytes that come meanwhile only make it later, unless they trickle. */
	#schedule(): void {
		const {clock} = this.#options;
		const delayMs = this.#getDueMs() - clock.monotonicMs();
		this.#cancel = clock.schedule(Math.max(0, delayMs), () => {
			if (this.#getDueMs() > clock.monotonicMs()) {
				this.#schedule();
			} else {
				this.#options.onExpired(this.#describe());
			}
		});
	}

	#describe(): string {
		if (this.#begunAtMs === undefined) {
			return `no response within ${this.#options.beginMs} ms`;
		}

		const elapsedMs = Math.round(
			this.#options.clock.monotonicMs() - this.#begunAtMs,
		);
		return `too little progress: ${this.receivedBytes} bytes in ${elapsedMs} ms`;
	}
}

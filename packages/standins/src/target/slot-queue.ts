/** Limits the concurrent requests of a target and queues a few more. */

/** The result of acquiring a slot. */
export type SlotOutcome = 'taken' | 'refused' | 'withdrawn';

/** Grants slots in order of arrival. */
export class SlotQueue {
	readonly #slots: number;
	readonly #queueLength: number;
	#waiting: Array<() => void> = [];
	#running = 0;

	/**
	 * @param slots - The maximum number of concurrent requests.
	 * @param queueLength - The maximum number of queued requests.
	 */
	constructor(slots: number, queueLength: number) {
		this.#slots = slots;
		this.#queueLength = queueLength;
	}

	/** Gets the number of running requests. */
	get running(): number {
		return this.#running;
	}

	/** Gets the number of running and queued requests. */
	get inFlight(): number {
		return this.#running + this.#waiting.length;
	}

	/**
	 * Acquires a slot, waiting in the queue if all are in use.
	 *
	 * @param signal - Cancels the wait when the caller disconnects.
	 * @returns Whether the slot was acquired, the queue was full or the wait was cancelled.
	 */
	async acquire(signal: AbortSignal): Promise<SlotOutcome> {
		if (signal.aborted) {
			return 'withdrawn';
		}

		if (this.#running < this.#slots) {
			this.#running++;
			return 'taken';
		}

		return this.#waiting.length < this.#queueLength
			? this.#wait(signal)
			: 'refused';
	}

	/** Releases a slot to the next queued request, if there is one. */
	release(): void {
		const next = this.#waiting.shift();
		if (next === undefined) {
			this.#running--;
			return;
		}

		next();
	}

	async #wait(signal: AbortSignal): Promise<SlotOutcome> {
		return new Promise((resolve) => {
			const onAbort = () => {
				this.#waiting = this.#waiting.filter((item) => item !== grant);
				resolve('withdrawn');
			};

			const grant = () => {
				signal.removeEventListener('abort', onAbort);
				resolve('taken');
			};

			signal.addEventListener('abort', onAbort, {once: true});
			this.#waiting.push(grant);
		});
	}
}

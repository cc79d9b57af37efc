/** The slots of a target and the short queue before them. */

/** The end of a wait for a slot. */
export type SlotOutcome = 'taken' | 'refused' | 'withdrawn';

/** Hands out slots in the order of asking. */
export class SlotQueue {
	readonly #slots: number;
	readonly #queueLength: number;
	#waiting: Array<() => void> = [];
	#running = 0;

	/**
	 * @param slots - How many requests run at once.
	 * @param queueLength - How many may wait.
	 */
	constructor(slots: number, queueLength: number) {
		this.#slots = slots;
		this.#queueLength = queueLength;
	}

	/** Gets how many requests run now. */
	get running(): number {
		return this.#running;
	}

	/** Gets how many requests run or wait now. */
	get inFlight(): number {
		return this.#running + this.#waiting.length;
	}

	/**
	 * Waits for a slot.
	 *
	 * @param signal - Ends the wait when the caller goes.
	 * @returns Whether the slot was taken.
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

	/** Hands the slot to the next request, or leaves it free. */
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

/** Races two copies of one request. */

import type {Clock} from '@bilberryscale/core';

/** A copy that is under way. */
export type Copy<Outcome> = {
	/** Resolves when the copy has ended. */
	readonly outcome: Promise<Outcome>;
	/** Cancels the copy, which then ends. */
	readonly cancel: () => void;
};

/** The first copy and how the second is started. */
export type RaceOptions<Outcome> = {
	readonly clock: Clock;
	readonly first: Copy<Outcome>;
	/** After which time the second copy is due, in milliseconds. */
	readonly delayMs: number;
	/**
	 * Starts the second copy.
	 *
	 * @param isOpen - Tells whether the race goes on.
	 * @returns The copy; undefined if none is sent.
	 */
	readonly startSecond: (
		isOpen: () => boolean,
	) => Promise<Copy<Outcome> | undefined>;
	/** Checks whether an outcome ends the race. */
	readonly isGood: (outcome: Outcome) => boolean;
};

/** How a race has ended. */
export type RaceResult<Outcome> = {
	/** The winner; undefined if no copy had a good outcome. */
	readonly winner: 'first' | 'second' | undefined;
	/** The outcomes that decided: of the winner, or of all copies. */
	readonly outcomes: readonly [Outcome, ...Outcome[]];
	/** The copies that were started. */
	readonly copies: ReadonlyArray<Copy<Outcome>>;
};

/**
 * Runs a race. The first good outcome wins and cancels the other copy; a copy
 * that fails waits for the other one.
 *
 * @param options - The copies.
 * @returns How the race has ended; a cancelled copy may still be ending.
 * @throws The error of a copy, or of its start, if one rejects before the race has ended; both copies are cancelled.
 */
export async function raceCopies<Outcome>(
	options: RaceOptions<Outcome>,
): Promise<RaceResult<Outcome>> {
	return new Promise((resolve, reject) => {
		new Race(options, resolve, reject).start();
	});
}

class Race<Outcome> {
	readonly #options: RaceOptions<Outcome>;
	readonly #resolve: (result: RaceResult<Outcome>) => void;
	readonly #reject: (error: Error) => void;
	readonly #copies: Array<Copy<Outcome>>;
	#outcomes: readonly Outcome[] = [];
	#cancelTimer: () => void = () => undefined;
	#hasEnded = false;

	constructor(
		options: RaceOptions<Outcome>,
		resolve: (result: RaceResult<Outcome>) => void,
		reject: (error: Error) => void,
	) {
		this.#options = options;
		this.#resolve = resolve;
		this.#reject = reject;
		this.#copies = [options.first];
	}

	start(): void {
		const {clock, first, delayMs} = this.#options;
		this.#cancelTimer = clock.schedule(delayMs, () => {
			void this.#catch(this.#startSecond());
		});
		void this.#catch(this.#follow(first));
	}

	/** Ends the race if one of its steps throws. */
	async #catch(step: Promise<void>): Promise<void> {
		try {
			await step;
		} catch (error) {
			if (!this.#hasEnded) {
				this.#hasEnded = true;
				this.#cancelTimer();
				for (const copy of this.#copies) {
					copy.cancel();
				}

				this.#reject(error as Error);
			}
		}
	}

	async #startSecond(): Promise<void> {
		const second = await this.#options.startSecond(() => !this.#hasEnded);
		if (second === undefined) {
			return;
		}

		this.#copies.push(second);
		if (this.#hasEnded) {
			second.cancel();
			return;
		}

		void this.#catch(this.#follow(second));
	}

	async #follow(copy: Copy<Outcome>): Promise<void> {
		const outcome = await copy.outcome;
		if (this.#hasEnded) {
			return;
		}

		if (this.#options.isGood(outcome)) {
			const winner = copy === this.#options.first ? 'first' : 'second';
			this.#end(winner, [outcome]);
			for (const other of this.#copies) {
				if (other !== copy) {
					other.cancel();
				}
			}

			return;
		}

		const previous = this.#outcomes;
		this.#outcomes = [outcome, ...previous];
		if (this.#outcomes.length === this.#copies.length) {
			this.#end(undefined, [outcome, ...previous]);
		}
	}

	#end(
		winner: RaceResult<Outcome>['winner'],
		outcomes: RaceResult<Outcome>['outcomes'],
	): void {
		this.#hasEnded = true;
		this.#cancelTimer();
		this.#resolve({winner, outcomes, copies: this.#copies});
	}
}

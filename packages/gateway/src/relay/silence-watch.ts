/** Finds targets that have gone silent while requests are under way there. */

import type {Clock} from '@bilberryscale/core';
import type {TargetState} from '../targets/target-state.js';

/** What the watch works with. */
export type SilenceWatchOptions = {
	readonly clock: Clock;
	/** Asks a target; its state tells what came of it. */
	readonly ask: (state: TargetState) => void;
	/** Whether nothing is ended, as the host leaves and no other would serve it in time. */
	readonly isPaused: () => boolean;
};

/** How often a target with requests under way is looked at, in milliseconds. */
const checkMs = 150;
/** How many questions in a row must stay unanswered. */
const unansweredToSilence = 2;

type Watched = {
	readonly onSilent: Set<() => void>;
	stop: () => void;
};

/** Watches the targets at which requests are under way. */
export class SilenceWatch {
	readonly #options: SilenceWatchOptions;
	readonly #watched = new Map<TargetState, Watched>();

	/**
	 * @param options - The clock and how a target is asked.
	 */
	constructor(options: SilenceWatchOptions) {
		this.#options = options;
	}

	/**
	 * Watches a target until the request has ended.
	 *
	 * @param state - The target.
	 * @param onSilent - Runs once if the target is silent to everything.
	 * @returns A function that ends the watch.
	 */
	watch(state: TargetState, onSilent: () => void): () => void {
		const watched = this.#watched.get(state) ?? this.#start(state);
		watched.onSilent.add(onSilent);
		return () => {
			watched.onSilent.delete(onSilent);
			if (watched.onSilent.size === 0) {
				watched.stop();
				this.#watched.delete(state);
			}
		};
	}

	#start(state: TargetState): Watched {
		const watched: Watched = {onSilent: new Set(), stop: () => undefined};
		this.#watched.set(state, watched);
		this.#schedule(state, watched);
		return watched;
	}

	#schedule(state: TargetState, watched: Watched): void {
		watched.stop = this.#options.clock.schedule(checkMs, () => {
			this.#check(state, watched);
		});
	}

	#check(state: TargetState, watched: Watched): void {
		const {isPaused} = this.#options;
		if (state.unansweredCount >= unansweredToSilence && !isPaused()) {
			for (const onSilent of watched.onSilent) {
				onSilent();
			}

			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - state.lastContactAtMs >= checkMs) {
			this.#options.ask(state);
		}

		this.#schedule(state, watched);
	}
}

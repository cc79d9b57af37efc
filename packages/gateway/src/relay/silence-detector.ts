/** Detects targets that stop responding while they hold requests. */

import type {Clock} from '@bilberryscale/core';
import type {TargetState} from '../targets/target-state.js';

/** Dependencies of the detector. */
export type SilenceDetectorOptions = {
	readonly clock: Clock;
	/** Probes a target; the outcome is recorded in its state. */
	readonly probe: (state: TargetState) => void;
	/** Whether silence is ignored; while the host shuts down, a retry at another target would not complete in time. */
	readonly isPaused: () => boolean;
};

/** How often a target with requests in flight is checked, in milliseconds. */
const checkIntervalMs = 150;
/** After how many consecutive unanswered probes a target counts as silent. */
const minUnansweredProbes = 2;

type WatchedTarget = {
	readonly listeners: Set<() => void>;
	stop: () => void;
};

/** Watches all targets with requests in flight. */
export class SilenceDetector {
	readonly #options: SilenceDetectorOptions;
	readonly #watched = new Map<TargetState, WatchedTarget>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: SilenceDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Watches a target during a request.
	 *
	 * @param state - The target.
	 * @param onSilent - Called again and again while the target responds neither to requests nor to probes.
	 * @returns A function that stops watching for this request.
	 */
	watch(state: TargetState, onSilent: () => void): () => void {
		const watched = this.#watched.get(state) ?? this.#startWatching(state);
		watched.listeners.add(onSilent);
		return () => {
			watched.listeners.delete(onSilent);
			if (watched.listeners.size === 0) {
				watched.stop();
				this.#watched.delete(state);
			}
		};
	}

	#startWatching(state: TargetState): WatchedTarget {
		const watched: WatchedTarget = {
			listeners: new Set(),
			stop: () => undefined,
		};
		this.#watched.set(state, watched);
		this.#schedule(state, watched);
		return watched;
	}

	#schedule(state: TargetState, watched: WatchedTarget): void {
		watched.stop = this.#options.clock.schedule(checkIntervalMs, () => {
			this.#check(state, watched);
		});
	}

	#check(state: TargetState, watched: WatchedTarget): void {
		const {isPaused} = this.#options;
		if (state.unansweredCount >= minUnansweredProbes && !isPaused()) {
			for (const listener of watched.listeners) {
				listener();
			}
		}

		const nowMs = this.#options.clock.monotonicMs();
		const isDue = nowMs - state.lastContactAtMs >= checkIntervalMs;
		const {pausedUntilMs, limit} = state.availability;
		// A target that has paused gets no probes either, and one with a limit few.
		if (isDue && pausedUntilMs <= nowMs && limit.canProbe(nowMs)) {
			this.#options.probe(state);
		}

		this.#schedule(state, watched);
	}
}

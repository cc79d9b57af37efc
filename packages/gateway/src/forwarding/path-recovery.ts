/** Finds out when a host that has lost its path to the targets reaches them again. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {PathMonitor} from '../targets/path-monitor.js';
import type {TargetState} from '../targets/target-state.js';

/** The targets and how they are probed. */
export type PathRecoveryOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly getPathMonitor: () => PathMonitor;
	/** Gets the targets that may be probed. */
	readonly getTargets: () => readonly TargetState[];
	/** Probes a target; the outcome is recorded in its state. */
	readonly probe: (state: TargetState) => void;
};

/** Time between two rounds of probes, in milliseconds. */
const intervalMs = 250;
const probesPerRound = 3;

/** Probes random targets while the path is lost, since requests don't go to targets then. */
export class PathRecovery {
	readonly #options: PathRecoveryOptions;
	#cancelTimer: () => void = () => undefined;

	/**
	 * @param options - The targets and how they are probed.
	 */
	constructor(options: PathRecoveryOptions) {
		this.#options = options;
	}

	/** Starts to probe until a target responds. */
	start(): void {
		this.#cancelTimer();
		this.#cancelTimer = this.#options.clock.schedule(intervalMs, () => {
			this.#run();
		});
	}

	/** Stops to probe. */
	stop(): void {
		this.#cancelTimer();
	}

	#run(): void {
		const {getPathMonitor, getTargets, random, probe} = this.#options;
		if (!getPathMonitor().isLost) {
			return;
		}

		const targets = getTargets()
			.map((state) => ({state, rank: random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, probesPerRound);
		for (const {state} of targets) {
			probe(state);
		}

		this.start();
	}
}

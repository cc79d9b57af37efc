/** Detects that this host has lost its path to the targets, as when its links are cut. */

import type {Clock, TargetId} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';

/** Dependencies of a monitor. */
export type PathMonitorOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Gets the number of targets that this host may contact. */
	readonly getTargetCount: () => number;
	/** Called when the path is lost. */
	readonly onLost?: () => void;
};

/** Targets that must have failed to respond, or all if there are fewer; single targets fail by themselves. */
const minMissedTargets = 3;
/** How long no target must have responded, in milliseconds. */
const minSilenceMs = 100;

/** Compares the targets that have failed to respond with the last response of any target. */
export class PathMonitor {
	readonly #options: PathMonitorOptions;
	/** The targets that have failed to respond since any target has responded. */
	readonly #missedTargets = new Set<TargetId>();
	#lastContactAtMs: number;
	#isLost = false;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: PathMonitorOptions) {
		this.#options = options;
		this.#lastContactAtMs = options.clock.monotonicMs();
	}

	/** Gets whether no target has responded since several have failed to. */
	get isLost(): boolean {
		return this.#isLost;
	}

	/** Gets when any target last responded, on the monotonic clock, in milliseconds. */
	get lastContactAtMs(): number {
		return this.#lastContactAtMs;
	}

	/** Records that a target has responded. */
	addContact(): void {
		const {clock, log} = this.#options;
		const nowMs = clock.monotonicMs();
		if (this.#isLost) {
			this.#isLost = false;
			log.writeState('path to targets regained', {
				silentMs: Math.round(nowMs - this.#lastContactAtMs),
			});
		}

		this.#lastContactAtMs = nowMs;
		this.#missedTargets.clear();
	}

	/**
	 * Records that a target has failed to respond to a probe or to accept a connection.
	 *
	 * @param target - The target.
	 */
	addMiss(target: TargetId): void {
		const {clock, log, getTargetCount, onLost} = this.#options;
		this.#missedTargets.add(target);
		const silentMs = clock.monotonicMs() - this.#lastContactAtMs;
		const isLost =
			silentMs >= minSilenceMs &&
			this.#missedTargets.size >= Math.min(minMissedTargets, getTargetCount());
		if (!isLost || this.#isLost) {
			return;
		}

		this.#isLost = true;
		log.writeState('path to targets lost', {
			silentMs: Math.round(silentMs),
			missedTargets: this.#missedTargets.size,
		});
		onLost?.();
	}
}

/** Finds out whether a target ended under a request, and tells and hears of it. */

import type {Clock, Digest} from '@bilberryscale/core';
import type {CrashSuspects} from '@bilberryscale/decisions';
import type {CrashNotice} from '../fleet/fleet-messages.js';
import type {EventLog} from '../records/event-log.js';
import type {TargetState} from '../targets/target-state.js';

/** What the desk works with. */
export type CrashDeskOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** The requests that may have crashed targets. */
	readonly suspects: CrashSuspects;
	/** Asks a target how it is. */
	readonly ask: (state: TargetState, onEnd: () => void) => void;
	/** Tells the other hosts. */
	readonly tell: (notice: CrashNotice) => void;
};

/** A target whose connection broke is asked after this time, in milliseconds. */
const confirmMs = 40;

/** Confirms crashes and keeps what other hosts say of them. */
export class CrashDesk {
	readonly #options: CrashDeskOptions;

	/**
	 * @param options - Whom to ask and to tell.
	 */
	constructor(options: CrashDeskOptions) {
		this.#options = options;
	}

	/**
	 * Asks a target whose connection broke; if it takes none, it has ended.
	 *
	 * @param state - The target.
	 * @param signature - The request that it ran.
	 */
	confirm(state: TargetState, signature: Digest): void {
		const {clock, log, ask, tell} = this.#options;
		clock.schedule(confirmMs, () => {
			ask(state, () => {
				if (state.unreachableAtMs > state.lastContactAtMs) {
					const {life} = state.registration;
					log.write('target ended under a request', {life, signature});
					tell({life, signature});
				}
			});
		});
	}

	/**
	 * Takes what another host says.
	 *
	 * @param notice - The request and the target that ended.
	 */
	take({signature, life}: CrashNotice): void {
		const {log, clock, suspects} = this.#options;
		const incidents = [{life, ageMs: 0}];
		suspects.addSuspects([{signature, incidents}], clock.monotonicMs());
		log.write('heard of a request that ended a target', {life, signature});
	}
}

/** Detects targets that crash while they run a request and notifies other hosts. */

import {makeId, type Clock, type Digest} from '@bilberryscale/core';
import type {CrashSuspects} from '@bilberryscale/decisions';
import type {CrashNotice} from '../fleet/gossip-message.js';
import type {TargetIncarnation} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import type {TargetState} from '../targets/target-state.js';

/** The crash suspects, and the functions that probe a target and broadcast a crash. */
export type CrashDetectorOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** The requests that may have crashed targets. */
	readonly suspects: CrashSuspects;
	/** Probes a target and calls `onEnd` when it has responded or failed to. */
	readonly probe: (state: TargetState, onEnd: () => void) => void;
	/** Gets random other targets, whose responses tell that this host has its links. */
	readonly getOtherTargets: (state: TargetState) => readonly TargetState[];
	/** Sends a notice to all other hosts. */
	readonly broadcast: (notice: CrashNotice) => void;
};

/** Delay between a broken connection and the probe of its target, in milliseconds. */
const confirmDelayMs = 40;

/** Notices that a host gets which has started; each is a datagram. */
const maxNoticeCount = 40;

/** Confirms crashes with a probe and records those that other hosts report. */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;

	/**
	 * @param options - The crash suspects and the functions that probe and broadcast.
	 */
	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Probes a target whose connection broke during a request. If it accepts no
	 * new connection while another target responds, it has crashed and the other
	 * hosts are notified. Otherwise the links of this host may be cut.
	 *
	 * @param state - The target.
	 * @param signature - The signature of the request that it ran.
	 * @param onConfirmed - Called if the target has crashed.
	 */
	confirmCrash(
		state: TargetState,
		signature: Digest,
		onConfirmed: () => void,
	): void {
		const {clock, log, probe, broadcast} = this.#options;
		clock.schedule(confirmDelayMs, () => {
			probe(state, () => {
				if (state.unreachableAtMs <= state.lastContactAtMs) {
					return;
				}

				this.#confirmLinks(state, () => {
					const {incarnation} = state.registration;
					log.write('target ended under a request', {
						life: incarnation,
						signature,
					});
					onConfirmed();
					broadcast({incarnation, signature, ageMs: 0});
				});
			});
		});
	}

	/** Probes other targets and calls back once if one responds, or if there is none. */
	#confirmLinks(state: TargetState, onConfirmed: () => void): void {
		const {clock, probe, getOtherTargets} = this.#options;
		const others = getOtherTargets(state);
		if (others.length === 0) {
			onConfirmed();
			return;
		}

		const startedAtMs = clock.monotonicMs();
		let isConfirmed = false;
		const confirmIfReached = ({lastContactAtMs}: TargetState) => {
			if (!isConfirmed && lastContactAtMs >= startedAtMs) {
				isConfirmed = true;
				onConfirmed();
			}
		};

		for (const other of others) {
			probe(other, () => {
				confirmIfReached(other);
			});
		}
	}

	/**
	 * Gets what a host that has started has to know, which may have lost its own record.
	 *
	 * @returns A notice for each known crash, the latest suspects last.
	 */
	getNotices(): CrashNotice[] {
		const {clock, suspects} = this.#options;
		return suspects
			.getSuspects(clock.monotonicMs())
			.flatMap(({signature, incidents}) =>
				incidents.map(({incarnation, ageMs}) => ({
					signature,
					incarnation: makeId<TargetIncarnation>(incarnation),
					ageMs,
				})),
			)
			.slice(-maxNoticeCount);
	}

	/**
	 * Records a crash that another host reported.
	 *
	 * @param notice - The signature of the request, the incarnation of the target that crashed and the time since.
	 */
	addNotice({signature, incarnation, ageMs}: CrashNotice): void {
		const {log, clock, suspects} = this.#options;
		const incidents = [{incarnation, ageMs}];
		suspects.addSuspects([{signature, incidents}], clock.monotonicMs());
		log.write('crash notice received', {life: incarnation, signature});
	}
}

/** Probes several targets of a service at once. */

import type {Clock} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {TargetProbe, type TargetProbeOptions} from './target-probe.js';

/** The targets to probe and the dependencies. */
export type ProbeTargetsOptions = {
	readonly states: readonly TargetState[];
	readonly healthPath: string;
	readonly protocol: TargetProtocol;
	readonly clock: Clock;
	readonly log: EventLog;
	/** Called with what a response says about its target's availability. */
	readonly onNotice: TargetProbeOptions['onNotice'];
	/** Called with the target that has responded at an address, whether it was probed or not. */
	readonly onIdentified?: TargetProbeOptions['onIdentified'];
};

/** How long to wait for further responses after the first one, in milliseconds. */
const remainingResponsesTimeoutMs = 12;
/** How long to wait for the first response, in milliseconds. */
const firstResponseTimeoutMs = 130;

/**
 * Probes targets and stores the responses in their states.
 *
 * @param options - The targets and the dependencies.
 * @returns A promise that resolves when all probes have ended or a timeout has passed.
 */
export async function probeTargets(
	options: ProbeTargetsOptions,
): Promise<void> {
	const {states, clock} = options;
	await new Promise<void>((resolve) => {
		let pendingCount = states.length;
		let cancelRemaining: (() => void) | undefined;
		const finish = () => {
			cancelFirstTimeout();
			cancelRemaining?.();
			resolve();
		};

		const cancelFirstTimeout = clock.schedule(firstResponseTimeoutMs, finish);
		const onEnd = (probe: TargetProbe) => {
			pendingCount--;
			if (pendingCount === 0) {
				finish();
			} else if (probe.hasAnswered) {
				cancelRemaining ??= clock.schedule(remainingResponsesTimeoutMs, finish);
			}
		};

		for (const state of states) {
			const probe = new TargetProbe({...options, state, onEnd});
			probe.start();
			pendingCount -= probe.hasEnded ? 1 : 0;
		}

		if (pendingCount === 0) {
			finish();
		}
	});
}

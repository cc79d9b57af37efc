/** The load under which faults are caused. */

import type {LoadPlan} from '@bilberryscale/standins';

/**
 * Makes readers and citizens who send again until they are served.
 *
 * @param durationMs - How long calls are made, in milliseconds.
 * @param seed - The seed of the arrivals.
 * @returns The load.
 */
export function makeProofLoad(
	durationMs: number,
	seed: number,
): Omit<LoadPlan, 'entries' | 'localAddress'> {
	return {
		services: [
			{
				service: 'submission-register',
				callsPerSecond: 60,
				method: 'POST',
				callerClass: 'citizen',
			},
			{
				service: 'draft-reading',
				callsPerSecond: 60,
				method: 'GET',
				callerClass: 'reader',
				path: '/item?bytes=20000',
			},
		],
		durationMs,
		seed,
		resending: {attempts: 5, pauseMs: 300, atOnceShare: 0.1},
		timeoutMs: 8000,
	};
}

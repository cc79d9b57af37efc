/** The load under which faults are caused. */

import type {LoadPlan, Resending} from '@bilberryscale/standins';

/** Callers that send again until they are served, a tenth twice at once. */
export const usualResending: Resending = {
	attempts: 5,
	pauseMs: 300,
	atOnceShare: 0.1,
};

/**
 * Makes readers of long texts and citizens with submissions.
 *
 * @param durationMs - How long calls are made, in milliseconds.
 * @param seed - The seed of the arrivals.
 * @param resending - How submissions are sent again; undefined sends once.
 * @returns The load.
 */
export function makeProofLoad(
	durationMs: number,
	seed: number,
	resending?: Resending,
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
		...(resending !== undefined && {resending}),
		timeoutMs: 8000,
	};
}

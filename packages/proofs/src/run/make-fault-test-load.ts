/** The load on the cluster while faults are injected. */

import type {LoadPlan, RetryPolicy} from '@bilberryscale/standins';

/** Up to five attempts per submission; a tenth of the submissions start with two simultaneous attempts, each with its own retries. */
export const defaultRetryPolicy: RetryPolicy = {
	attempts: 5,
	pauseMs: 300,
	atOnceShare: 0.1,
};

/**
 * Makes a load of long reads (GET) and submissions (POST).
 *
 * @param durationMs - For how long requests are sent, in milliseconds.
 * @param seed - The random seed of the arrival times.
 * @param retryPolicy - How submissions are retried; undefined for no retries.
 * @returns The load plan, without the entry hosts and the local address.
 */
export function makeFaultTestLoad(
	durationMs: number,
	seed: number,
	retryPolicy?: RetryPolicy,
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
		...(retryPolicy !== undefined && {resending: retryPolicy}),
		timeoutMs: 8000,
	};
}

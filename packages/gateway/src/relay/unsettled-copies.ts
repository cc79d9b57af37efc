/** Counts the copies of a request that were sent, and those that targets may have run or may be at work on. */

import type {Exchange, SentCopy} from '@bilberryscale/daemon/edge';
import {mayHaveRun, type AttemptResult} from './attempt-result.js';

/**
 * Counts a copy that is about to be sent.
 *
 * @param exchange - The request.
 * @param copy - Where the copy is sent, and how long it is expected to take.
 */
export function addCopy(exchange: Exchange, copy: SentCopy): void {
	exchange.lastCopy = copy;
	exchange.sentCopies++;
	exchange.unsettledCopies = (exchange.unsettledCopies ?? 0) + 1;
}

/**
 * Takes a copy out of the count if its target certainly did not run it.
 *
 * @param exchange - The request.
 * @param result - The result of the copy.
 */
export function settleCopy(exchange: Exchange, result: AttemptResult): void {
	if (exchange.unsettledCopies !== undefined && !mayHaveRun(result)) {
		exchange.unsettledCopies--;
	}
}

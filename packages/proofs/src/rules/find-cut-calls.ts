/** Rule: a graceful shutdown cuts off no request. */

import type {CallRecord} from '@bilberryscale/standins';
import type {Shutdown} from '../history/history.js';
import type {Breach, Rule} from './breach.js';

const rule = 'a graceful shutdown cuts off nothing';

/** Says that no connection was made, so that no request was received. */
const neverReceived = 'ECONNREFUSED';

/** Finds requests that a shutdown cut off, and shutdowns that did not end well. */
export const findCutCalls: Rule = ({shutdowns, calls}) =>
	shutdowns.flatMap((shutdown) => [
		...checkExit(shutdown),
		...calls
			.filter((call) => isCutBy(call, shutdown))
			.map((call) => ({
				rule,
				detail: `Request ${call.requestId} was cut off (${call.errorKind}) while ${shutdown.host} shut down.`,
				evidence: [shutdown, call],
			})),
	]);

function checkExit(shutdown: Shutdown): Breach[] {
	return shutdown.exitCode === 0
		? []
		: [
				{
					rule,
					detail: `${shutdown.host} ended with ${shutdown.exitCode}.`,
					evidence: [shutdown],
				},
			];
}

function isCutBy(call: CallRecord, shutdown: Shutdown): boolean {
	return (
		call.entry === shutdown.entry &&
		call.status === 0 &&
		call.errorKind !== neverReceived &&
		call.sentAtMs <= shutdown.toMs &&
		call.endedAtMs >= shutdown.fromMs
	);
}

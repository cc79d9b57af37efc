/** Rule: a graceful shutdown aborts no request. */

import type {CallRecord} from '@bilberryscale/standins';
import type {Shutdown} from '../history/history.js';
import type {Violation, Rule} from './violation.js';

const rule = 'a graceful shutdown aborts no request';

/** No connection was established, so the host never received the request. */
const connectionRefusedCode = 'ECONNREFUSED';

/** Finds requests that were aborted during a graceful shutdown, and shutdowns with a non-zero exit code or a signal. */
export const findAbortedRequests: Rule = ({shutdowns, calls}) =>
	shutdowns.flatMap((shutdown) => [
		...checkExitCode(shutdown),
		...calls
			.filter((call) => isAbortedBy(call, shutdown))
			.map((call) => ({
				rule,
				detail: `Request ${call.requestId} was aborted (${call.errorKind}) while ${shutdown.host} was shutting down.`,
				evidence: [shutdown, call],
			})),
	]);

function checkExitCode(shutdown: Shutdown): Violation[] {
	return shutdown.exitCode === 0
		? []
		: [
				{
					rule,
					detail: `${shutdown.host} exited with code ${shutdown.exitCode}.`,
					evidence: [shutdown],
				},
			];
}

function isAbortedBy(call: CallRecord, shutdown: Shutdown): boolean {
	return (
		call.entry === shutdown.entry &&
		call.status === 0 &&
		call.errorKind !== connectionRefusedCode &&
		call.sentAtMs <= shutdown.toMs &&
		call.endedAtMs >= shutdown.fromMs
	);
}

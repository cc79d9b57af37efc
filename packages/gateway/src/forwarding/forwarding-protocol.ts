/** The protocol in which hosts send requests to each other: HTTP as between callers and hosts, with two more headers. */

import type {TargetProtocol} from '../targets/target-protocol.js';

/** The request header that marks a forwarded request and holds how many targets it may still be sent to. */
export const attemptsLeftHeader = 'bilberryscale-attempts-left';
/** The header of a health response with the address of the host. */
export const hostHeader = 'bilberryscale-host';
/** The header of a health response with the number of requests that the host works on. */
export const openRequestsHeader = 'bilberryscale-open-requests';
/** The header of a health response by which a host says that it checks the keys of client accounts itself. */
export const checksAccountsHeader = 'bilberryscale-checks-accounts';
/** The path on which a host tells whether it takes requests from others. */
export const forwardingHealthPath = '/forwarding-health';

const healthyStatus = 200;
const notRunState = 'not-run';

/**
 * Makes the protocol for requests to another host, in which that host takes the place of a target.
 *
 * @param targetProtocol - The protocol between hosts and targets, whose headers the other host passes on.
 * @param runStateHeader - The header of a host's own failure that says whether the request may have run.
 * @param attemptsLeft - How many targets the other host may send the request to.
 * @param hasAccounts - Whether only hosts that check keys may get requests; an earlier version would pass them to targets.
 * @returns The protocol.
 */
export function makeForwardingProtocol(
	targetProtocol: TargetProtocol,
	runStateHeader: string,
	attemptsLeft: number,
	hasAccounts: () => boolean = () => false,
): TargetProtocol {
	return {
		...targetProtocol,
		getExpectationHeader: () => [attemptsLeftHeader, String(attemptsLeft)],
		isNotRun: (_status, headers) =>
			headers[runStateHeader] === notRunState &&
			!targetProtocol.isSealed(headers),
		readLoad: () => undefined,
		readAvailability: () => undefined,
		readHealth(status, headers, {slots}, nowMs) {
			const running = Number(headers[openRequestsHeader]);
			const answeredBy = headers[hostHeader];
			return {
				receivedAtMs: nowMs,
				running: Number.isFinite(running) ? running : 0,
				waiting: 0,
				slots,
				slowdownFactor: 1,
				isHealthy:
					status === healthyStatus &&
					(!hasAccounts() || headers[checksAccountsHeader] !== undefined),
				remainingWarmUpMs: 0,
				answeredBy: typeof answeredBy === 'string' ? answeredBy : undefined,
			};
		},
	};
}

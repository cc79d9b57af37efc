/** The protocol in which hosts send requests to each other: HTTP as between callers and hosts, with two more headers. */

import type {Answer} from '@bilberryscale/daemon/edge';
import type {TargetProtocol} from '../targets/target-protocol.js';

/** The request header that marks a forwarded request and holds how many targets it may still be sent to. */
export const attemptsLeftHeader = 'bilberryscale-attempts-left';
/** The request header by which a host leaves it to the next one to count the request for the retry budget. */
export const uncountedHeader = 'bilberryscale-uncounted';
/** The response header with the number of copies that a host has sent to targets. */
export const sentCopiesHeader = 'bilberryscale-sent-copies';
/** The response header with the number of these that targets may have run. */
export const unsettledCopiesHeader = 'bilberryscale-unsettled-copies';
/** The header of a health response with the address of the host. */
export const hostHeader = 'bilberryscale-host';
/** The header of a health response with the number of requests that the host works on. */
export const openRequestsHeader = 'bilberryscale-open-requests';
/** The header of a health response by which a host says that it checks the keys of client accounts itself. */
export const checksAccountsHeader = 'bilberryscale-checks-accounts';
/** The path on which a host tells whether it takes requests from others. */
export const forwardingHealthPath = '/forwarding-health';

/** What a host says about a request that it forwards. */
export type ForwardedRequest = {
	/** To how many targets it may still be sent. */
	readonly attemptsLeft: number;
	/** Whether a host has counted it for the retry budget. */
	readonly isCounted: boolean;
};

/** What has become of a request at the host to which it was forwarded. */
export type ForwardedCopies = {
	/** How many copies were sent to targets. */
	readonly sent: number;
	/** How many of these targets may have run. */
	readonly unsettled: number;
};

const healthyStatus = 200;
const notRunState = 'not-run';

/**
 * Reads how often another host has sent a request.
 *
 * @param headers - The headers of its response.
 * @returns The numbers of copies; undefined if the response does not name them, as those of earlier versions.
 */
export function readForwardedCopies(
	headers: Answer['headers'] = {},
): ForwardedCopies | undefined {
	const sent = headers[sentCopiesHeader];
	const unsettled = headers[unsettledCopiesHeader];
	return isCount(sent) && isCount(unsettled)
		? {sent: Number(sent), unsettled: Number(unsettled)}
		: undefined;
}

function isCount(value: string | string[] | undefined): value is string {
	return typeof value === 'string' && /^\d{1,4}$/v.test(value);
}

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

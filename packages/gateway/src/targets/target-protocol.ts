/** The protocol between the gateway and targets. */

import type {IncomingHttpHeaders} from 'node:http';
import type {RegisteredTarget} from '../plan/registered-target.js';
import type {HealthReport, LoadReport} from './load-report.js';
import type {AvailabilityNotice} from './target-availability.js';

/** Names, builds and parses the headers exchanged with targets. */
export type TargetProtocol = {
	/** The header with the request ID, in requests and responses. */
	readonly requestIdHeader: string;
	/** The request header with the time left until the deadline, in milliseconds. */
	readonly deadlineHeader: string;
	/** The request header with the key of the caller's client account, which targets never get. */
	readonly credentialHeader: string;
	/** The request header that names the client account to a target. */
	readonly accountHeader: string;
	/**
	 * Gets the request header that makes any target other than the intended one refuse the request.
	 *
	 * @param target - The intended target.
	 * @returns The header's name and value.
	 */
	readonly getExpectationHeader: (target: RegisteredTarget) => [string, string];
	/**
	 * Checks whether a response states that the target did not run the request.
	 *
	 * @param status - The status of the response.
	 * @param headers - The headers of the response.
	 * @returns Whether the request was not run.
	 */
	readonly isNotRun: (status: number, headers: IncomingHttpHeaders) => boolean;
	/**
	 * Checks for the seal by which a target marks a response as its own and complete in form.
	 *
	 * @param headers - The headers of the response.
	 * @returns Whether the response has the seal.
	 */
	readonly isSealed: (headers: IncomingHttpHeaders) => boolean;
	/**
	 * Reads the load report in a response.
	 *
	 * @param headers - The headers of the response.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The report; undefined if the response has no valid one.
	 */
	readonly readLoad: (
		headers: IncomingHttpHeaders,
		nowMs: number,
	) => LoadReport | undefined;
	/**
	 * Reads whether the target is shutting down or accepts no requests for some time.
	 *
	 * @param status - The status of the response.
	 * @param headers - The headers of the response.
	 * @returns The notice; undefined if the response does not come from the intended target or says nothing of it.
	 */
	readonly readAvailability: (
		status: number,
		headers: IncomingHttpHeaders,
	) => AvailabilityNotice | undefined;
	/**
	 * Reads the response to a probe of the health path.
	 *
	 * @param status - The status of the response.
	 * @param headers - The headers of the response.
	 * @param target - The target that was probed.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The report.
	 */
	readonly readHealth: (
		status: number,
		headers: IncomingHttpHeaders,
		target: RegisteredTarget,
		nowMs: number,
	) => HealthReport;
};

/** How the gateway speaks with targets. */

import type {IncomingHttpHeaders} from 'node:http';
import type {ListedTarget} from '../plan/registered-target.js';
import type {HealthReport, TargetReport} from './target-report.js';

/** The headers between the gateway and targets, as functions of their meaning. */
export type TargetProtocol = {
	/** Names the call in requests and answers. */
	readonly requestIdHeader: string;
	/** Gives the time that the caller still waits, in milliseconds. */
	readonly deadlineHeader: string;
	/**
	 * Gets the header by which any other target refuses the request.
	 *
	 * @param target - The target that is meant.
	 * @returns The header's name and value.
	 */
	readonly getExpectation: (target: ListedTarget) => [string, string];
	/**
	 * Tells whether an answer says that the request was not run.
	 *
	 * @param status - The status of the answer.
	 * @param headers - The headers of the answer.
	 * @returns Whether it says so.
	 */
	readonly isNotRun: (status: number, headers: IncomingHttpHeaders) => boolean;
	/**
	 * Tells whether an answer is the target's own and whole in form.
	 *
	 * @param headers - The headers of the answer.
	 * @returns Whether the target has sealed it.
	 */
	readonly isSealed: (headers: IncomingHttpHeaders) => boolean;
	/**
	 * Reads the load out of an answer.
	 *
	 * @param headers - The headers of the answer.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The report; undefined if the answer holds none.
	 */
	readonly readLoad: (
		headers: IncomingHttpHeaders,
		nowMs: number,
	) => TargetReport | undefined;
	/**
	 * Reads an answer of the health path.
	 *
	 * @param status - The status of the answer.
	 * @param headers - The headers of the answer.
	 * @param target - The target that was asked.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The report.
	 */
	readonly readHealth: (
		status: number,
		headers: IncomingHttpHeaders,
		target: ListedTarget,
		nowMs: number,
	) => HealthReport;
};

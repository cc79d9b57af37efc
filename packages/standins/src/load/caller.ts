/** Sends calls in place of the callers, and retries them under the same idempotency key. */

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callerHeaders,
	makeSeededRandom,
	type RandomSource,
} from '@bilberryscale/core';
import {request, type Agent} from 'undici';
import {uuidv7} from 'uuidv7';
import type {Balancer} from './balancer.js';
import type {ScheduledCall} from './draw-arrivals.js';
import {
	isCompleteResponse,
	type ResponseContent,
} from './is-complete-response.js';
import type {
	BalancedEntry,
	CallRecord,
	LoadPlan,
	RetryPolicy,
} from './load-plan.js';

/** The load that callers send, and how they reach entry hosts. */
export type CallerOptions = {
	readonly plan: LoadPlan;
	readonly balancer: Balancer;
	readonly agent: Agent;
};

type AttemptRequest = {
	readonly call: ScheduledCall;
	/** When the call is due, on the monotonic clock. */
	readonly dueAtMs: number;
	readonly key: string | undefined;
	readonly body: string;
	readonly attempt: number;
	readonly entry: BalancedEntry;
};

type AttemptOutcome = Pick<
	CallRecord,
	'status' | 'errorKind' | 'ran' | 'isWhole'
>;

const bodyRepeats = 200;
const statusOk = 200;

/** Makes the calls of a load and records each attempt. */
export class Caller {
	readonly #options: CallerOptions;
	readonly #random: RandomSource;

	/**
	 * @param options - The load, the balancer and the HTTP client.
	 */
	constructor(options: CallerOptions) {
		this.#options = options;
		this.#random = makeSeededRandom(options.plan.seed + 1);
	}

	/**
	 * Makes a call, with all its attempts.
	 *
	 * @param call - The call.
	 * @param dueAtMs - When the call is due, on the monotonic clock.
	 * @returns The record of each attempt.
	 */
	async call(
		call: ScheduledCall,
		dueAtMs: number,
	): Promise<readonly CallRecord[]> {
		const isPost = call.load.method === 'POST';
		const key = isPost ? uuidv7() : undefined;
		const body = isPost ? uuidv7().repeat(bodyRepeats) : '';
		const base = {call, dueAtMs, key, body};
		const {resending: retryPolicy} = this.#options.plan;
		if (!isPost || retryPolicy === undefined) {
			return [
				await this.#runAttempt({...base, attempt: 0, ...this.#pickEntry()}),
			];
		}

		const isDuplicated = this.#random() < retryPolicy.atOnceShare;
		const copyIndexes = isDuplicated ? [0, 1] : [0];
		const records = await Promise.all(
			copyIndexes.map(async () => this.#sendWithRetries(base, retryPolicy)),
		);
		return records.flat();
	}

	async #sendWithRetries(
		base: Omit<AttemptRequest, 'attempt' | 'entry'>,
		retryPolicy: RetryPolicy,
	): Promise<CallRecord[]> {
		const records: CallRecord[] = [];
		for (let attempt = 0; attempt < retryPolicy.attempts; attempt++) {
			const record = await this.#runAttempt({
				...base,
				attempt,
				...this.#pickEntry(),
			});
			records.push(record);
			if (record.status === statusOk && record.isWhole) {
				break;
			}

			await sleep(retryPolicy.pauseMs * this.#random() * 2);
		}

		return records;
	}

	#pickEntry(): {readonly entry: BalancedEntry} {
		return {entry: this.#options.balancer.pickEntry()};
	}

	async #runAttempt(attemptRequest: AttemptRequest): Promise<CallRecord> {
		const {call, key, attempt, entry, dueAtMs} = attemptRequest;
		const requestId = uuidv7();
		const sentAtMs = Date.now();
		const outcome = await this.#sendRequest(attemptRequest, requestId);
		return {
			service: call.load.service,
			callerClass: call.load.callerClass,
			method: call.load.method,
			requestId,
			key,
			attempt,
			entry: entry.callersUrl,
			sentAtMs,
			endedAtMs: Date.now(),
			latencyMs: performance.now() - dueAtMs,
			...outcome,
		};
	}

	async #sendRequest(
		attemptRequest: AttemptRequest,
		requestId: string,
	): Promise<AttemptOutcome> {
		const {call, key, body, entry} = attemptRequest;
		const {agent, plan} = this.#options;
		const {load} = call;
		try {
			const response = await request(
				`${entry.callersUrl}/${load.service}${load.path ?? '/item'}`,
				{
					dispatcher: agent,
					method: load.method,
					headers: {
						[callerHeaders.requestId]: requestId,
						[callerHeaders.callerClass]: load.callerClass,
						...(key !== undefined && {[callerHeaders.idempotencyKey]: key}),
					},
					body: body === '' ? null : body,
					...(plan.timeoutMs !== undefined && {
						signal: AbortSignal.timeout(plan.timeoutMs),
					}),
				},
			);
			const content = (await response.body.json()) as ResponseContent;
			return {
				status: response.statusCode,
				errorKind: content.kind,
				ran: content.ran,
				isWhole: isCompleteResponse(content, {requestId, key, body}),
			};
		} catch (error) {
			return {
				status: 0,
				errorKind: getErrorCode(error as NodeJS.ErrnoException),
				ran: undefined,
				isWhole: false,
			};
		}
	}
}

function getErrorCode({name, code}: NodeJS.ErrnoException): string {
	return typeof code === 'string' ? code : name;
}

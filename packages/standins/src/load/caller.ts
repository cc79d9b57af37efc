/** Sends calls as callers do, also again with the same key. */

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
import type {DueCall} from './draw-arrivals.js';
import type {
	BalancedEntry,
	CallRecord,
	LoadPlan,
	Resending,
} from './load-plan.js';
import {isOwnAnswer, type AnswerContent} from './own-answer.js';

/** What callers work with. */
export type CallerOptions = {
	readonly plan: LoadPlan;
	readonly balancer: Balancer;
	readonly agent: Agent;
};

type Sending = {
	readonly call: DueCall;
	/** When the call is due, on the monotonic clock. */
	readonly dueAtMs: number;
	readonly key: string | undefined;
	readonly body: string;
	readonly attempt: number;
	readonly entry: BalancedEntry;
};

type AttemptEnd = Pick<CallRecord, 'status' | 'errorKind' | 'ran' | 'isWhole'>;

const bodyWords = 200;
const success = 200;

/** The callers of a load. */
export class Caller {
	readonly #options: CallerOptions;
	readonly #random: RandomSource;

	/**
	 * @param options - The load and how entry hosts are reached.
	 */
	constructor(options: CallerOptions) {
		this.#options = options;
		this.#random = makeSeededRandom(options.plan.seed + 1);
	}

	/**
	 * Makes a call, with all its sends.
	 *
	 * @param call - The call.
	 * @param dueAtMs - When it is due, on the monotonic clock.
	 * @returns The record of each send.
	 */
	async call(call: DueCall, dueAtMs: number): Promise<readonly CallRecord[]> {
		const isPost = call.load.method === 'POST';
		const key = isPost ? uuidv7() : undefined;
		const body = isPost ? uuidv7().repeat(bodyWords) : '';
		const base = {call, dueAtMs, key, body};
		const {resending} = this.#options.plan;
		if (!isPost || resending === undefined) {
			return [await this.#send({...base, attempt: 0, ...this.#draw()})];
		}

		const isTwice = this.#random() < resending.atOnceShare;
		const lines = isTwice ? [0, 1] : [0];
		const records = await Promise.all(
			lines.map(async () => this.#sendUntilClear(base, resending)),
		);
		return records.flat();
	}

	async #sendUntilClear(
		base: Omit<Sending, 'attempt' | 'entry'>,
		resending: Resending,
	): Promise<CallRecord[]> {
		const records: CallRecord[] = [];
		for (let attempt = 0; attempt < resending.attempts; attempt++) {
			const record = await this.#send({...base, attempt, ...this.#draw()});
			records.push(record);
			if (record.status === success && record.isWhole) {
				break;
			}

			await sleep(resending.pauseMs * this.#random() * 2);
		}

		return records;
	}

	#draw(): {readonly entry: BalancedEntry} {
		return {entry: this.#options.balancer.drawEntry()};
	}

	async #send(sending: Sending): Promise<CallRecord> {
		const {call, key, attempt, entry, dueAtMs} = sending;
		const requestId = uuidv7();
		const sentAtMs = Date.now();
		const end = await this.#exchange(sending, requestId);
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
			...end,
		};
	}

	async #exchange(sending: Sending, requestId: string): Promise<AttemptEnd> {
		const {call, key, body, entry} = sending;
		const {agent, plan} = this.#options;
		const {load} = call;
		try {
			const answer = await request(
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
			const content = (await answer.body.json()) as AnswerContent;
			return {
				status: answer.statusCode,
				errorKind: content.kind,
				ran: content.ran,
				isWhole: isOwnAnswer(content, {requestId, key, body}),
			};
		} catch (error) {
			return {
				status: 0,
				errorKind: nameError(error as NodeJS.ErrnoException),
				ran: undefined,
				isWhole: false,
			};
		}
	}
}

function nameError({name, code}: NodeJS.ErrnoException): string {
	return typeof code === 'string' ? code : name;
}

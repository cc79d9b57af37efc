/** The way of a request from its route to its answer. */

import {
	notRun,
	perhapsRun,
	type Clock,
	type Failure,
	type TargetId,
} from '@bilberryscale/core';
import type {Exchange, FilterResult} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PickedTarget, TargetPicker} from '../choice/target-picker.js';
import {RetryBudget, type RetryBudgetLimit} from '../limits/retry-budget.js';
import type {Route} from '../plan/routing-plan.js';
import type {CallJournal} from '../records/call-journal.js';
import type {CallReader, RelayCall} from './call-reader.js';
import type {SendDesk} from './send-desk.js';
import {
	describeResult,
	getBetter,
	isGood,
	mayHaveRun,
	type SendResult,
} from './send-result.js';
import type {WorkTimes} from './work-times.js';

/** What the relay works with. */
export type RelayOptions = {
	readonly clock: Clock;
	readonly picker: TargetPicker;
	readonly reader: CallReader;
	readonly workTimes: WorkTimes;
	readonly desk: SendDesk;
	readonly getRetryBound: () => RetryBudgetLimit;
	readonly getHostCount: () => number;
	readonly journal: CallJournal;
};

/** Part of the allowance for further sends that first requests leave to returning ones. */
const shareOfReturning = 0.6;
/** Callers whose request was refused by targets with room come back after this time, in milliseconds. */
const refusedReturnMs = 40;
/** Sends beyond the targets of a route, to those that refused at random before. */
const mostRepeats = 3;
/** Says that the address belongs to another target now. */
const misdirectedStatus = 421;

/** Relays requests to targets. */
export class Relay {
	readonly #options: RelayOptions;
	readonly #allowances = new Map<string, RetryBudget>();

	/**
	 * @param options - The parts of the way.
	 */
	constructor(options: RelayOptions) {
		this.#options = options;
	}

	/**
	 * Relays a request.
	 *
	 * @param exchange - The request.
	 * @returns The answer, or why there is none.
	 */
	async run(exchange: Exchange): Promise<FilterResult> {
		const result = await this.#options.reader.read(exchange);
		if (result.isErr()) {
			this.#options.journal.addRefusal(exchange, result.error);
			return result;
		}

		const call = result.value;
		const barred = this.#options.desk.getBarred(call);
		const end = barred === undefined ? await this.#attempt(call) : Err(barred);
		this.#options.journal.addEnd(exchange, call.route, end);
		return end;
	}

	async #attempt(call: RelayCall): Promise<FilterResult> {
		const {clock} = this.#options;
		this.#getAllowance(call.service).addRequest(clock.monotonicMs());
		const tried = new Set<TargetId>();
		const refusing = new Set<TargetId>();
		let sends = 0;
		let last: SendResult | undefined;
		let runs = 0;
		for (;;) {
			if (last !== undefined && !this.#takeFurtherSend(call, last)) {
				return this.#conclude(
					call,
					last,
					runs,
					'the retry allowance is used up',
				);
			}

			const isAtMost = tried.size >= call.route.maxAttempts;
			const picked = await this.#pick(
				call,
				tried,
				isAtMost ? refusing : undefined,
			);
			if (picked.isErr()) {
				return last === undefined
					? Err(this.#options.reader.addReturn(call, picked.error))
					: this.#conclude(call, last, runs, picked.error.detail);
			}

			const {registration: listed} = picked.value.state;
			tried.add(listed.id);
			sends++;
			const result = await this.#options.desk.send(call, picked.value, sends);
			this.#options.picker.wakeWaiting(call.service);
			if (result.kind === 'refused' && result.status !== misdirectedStatus) {
				refusing.add(listed.id);
			}

			last = getBetter(last, result);
			runs += mayHaveRun(result) ? 1 : 0;
			if (!this.#mayTryAgain(call, result, runs, sends)) {
				return this.#conclude(call, last, runs, undefined);
			}
		}
	}

	/** A caller that was refused once comes back once; the second time is its last. */
	#takeFurtherSend(
		{service, isReturning}: RelayCall,
		last: SendResult,
	): boolean {
		const isFirstRefusal = last.kind === 'refused' && !isReturning;
		return this.#getAllowance(service).take(
			this.#options.clock.monotonicMs(),
			isFirstRefusal ? shareOfReturning : 0,
		);
	}

	async #pick(
		call: RelayCall,
		tried: ReadonlySet<TargetId>,
		among: ReadonlySet<TargetId> | undefined,
	): Promise<Result<PickedTarget, Failure>> {
		const {picker} = this.#options;
		const {route, service, deadlineMs} = call;
		return picker.pick({
			service,
			isIdempotent: route.isIdempotent,
			serviceTimeMs: this.#getWorkMs(route),
			triedTargets: tried,
			allowedTargets: among,
			deadlineMs,
			receivedAtMs: call.exchange.incoming.receivedAtMs,
			signal: call.exchange.incoming.signal,
			targetLatencyMs: route.targetLatencyMs,
		});
	}

	#getWorkMs({name, targetLatencyMs}: Route): number {
		return this.#options.workTimes.getMs(name, targetLatencyMs);
	}

	#mayTryAgain(
		{route, exchange, deadlineMs}: RelayCall,
		result: SendResult,
		runs: number,
		sends: number,
	): boolean {
		const isFinal =
			isGood(result) ||
			exchange.incoming.signal.aborted ||
			runs >= route.maxAttempts ||
			sends >= route.maxAttempts + mostRepeats;
		if (isFinal) {
			return false;
		}

		const leftMs = deadlineMs - this.#options.clock.monotonicMs();
		return (
			leftMs > this.#getWorkMs(route) / 2 &&
			(route.isIdempotent || !mayHaveRun(result))
		);
	}

	/** Makes the final answer out of the last send. */
	#conclude(
		call: RelayCall,
		last: SendResult,
		runs: number,
		reason: string | undefined,
	): FilterResult {
		if (last.kind === 'answered') {
			return Ok(last.answer);
		}

		const detail =
			describeResult(last) + (reason === undefined ? '' : `; ${reason}`);
		if (runs === 0) {
			// Targets with room refuse at random, so that coming back soon helps.
			return Err(notRun('target-refused', detail, refusedReturnMs));
		}

		const isOverdue = last.kind === 'broken' && last.cause === 'overdue';
		return Err(
			perhapsRun(isOverdue ? 'deadline-exceeded' : 'target-failed', detail),
		);
	}

	#getAllowance(service: string): RetryBudget {
		const {getRetryBound, getHostCount} = this.#options;
		const known = this.#allowances.get(service);
		const allowance = known ?? new RetryBudget(getRetryBound, getHostCount);
		this.#allowances.set(service, allowance);
		return allowance;
	}
}

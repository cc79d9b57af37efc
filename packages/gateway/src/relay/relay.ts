/** The way of a request from its route to its answer. */

import type {Buffer} from 'node:buffer';
import {
	notRun,
	perhapsRun,
	type Clock,
	type Digest,
	type Failure,
	type TargetId,
} from '@bilberryscale/core';
import {
	BodyReader,
	getRequestSignature,
	type Exchange,
	type FilterResult,
} from '@bilberryscale/daemon/edge';
import {type CrashSuspects} from '@bilberryscale/decisions';
import {Err, Ok, type Result} from 'ts-results-es';
import type {LastSlotFactor} from '../choice/last-slot-factor.js';
import type {Pick, TargetPicker} from '../choice/target-picker.js';
import {RetryAllowance, type RetryBound} from '../limits/retry-allowance.js';
import type {RouteTable} from '../plan/route-table.js';
import type {CallerLimits, Route} from '../plan/routing-plan.js';
import type {SplitPicker} from '../plan/split-picker.js';
import type {CallJournal} from '../records/call-journal.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {CallerPatience} from './caller-patience.js';
import type {SendResult} from './send-result.js';
import type {SilenceWatch} from './silence-watch.js';
import {TargetSend} from './target-send.js';
import type {WorkTimes} from './work-times.js';

/** The plan in force, prepared for requests. */
export type PlanInForce = {
	readonly version: number;
	readonly table: RouteTable;
	readonly limits: CallerLimits;
};

/** What the relay works with. */
export type RelayOptions = {
	readonly clock: Clock;
	readonly picker: TargetPicker;
	readonly splits: SplitPicker;
	readonly workTimes: WorkTimes;
	readonly patience: CallerPatience;
	readonly lastSlot: LastSlotFactor;
	readonly silenceWatch: SilenceWatch;
	readonly protocol: TargetProtocol;
	readonly retryBound: RetryBound;
	readonly getHostCount: () => number;
	readonly getPlan: () => PlanInForce | undefined;
	readonly journal: CallJournal;
	/** The requests that may have crashed targets. */
	readonly suspects: CrashSuspects;
	/** Told when a connection broke under a request. */
	readonly onBroken: (state: TargetState, signature: Digest) => void;
	/** Told when a target failed a request. */
	readonly onFailure: (state: TargetState) => void;
};

/** A request with all that was found out about it. */
type RelayCall = {
	readonly exchange: Exchange;
	readonly route: Route;
	readonly service: Route['parts'][number]['service'];
	readonly deadlineMs: number;
	readonly body: Buffer | undefined;
	/** Whether its caller seems to have been refused before. */
	readonly isReturning: boolean;
};

/** Part of the allowance for further sends that first requests leave to returning ones. */
const shareOfReturning = 0.6;
/** Callers come back within this part of the time that they have left. */
const returnShare = 1 / 3;
const shortestReturnMs = 50;
/** Callers whose request was refused by targets with room come back after this time, in milliseconds. */
const refusedReturnMs = 40;
/** A body may pause so long, in milliseconds. */
const bodyIdleMs = 5000;
/** Sends beyond the targets of a route, to those that refused at random before. */
const mostRepeats = 3;
/** Says that the address belongs to another target now. */
const misdirectedStatus = 421;
const lowestFault = 500;
const barredRetryMs = 60_000;

/** Relays requests to targets. */
export class Relay {
	readonly #options: RelayOptions;
	readonly #allowances = new Map<string, RetryAllowance>();

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
		const result = await this.#identify(exchange);
		if (result.isErr()) {
			this.#options.journal.addRefusal(exchange, result.error);
			return result;
		}

		const call = result.value;
		const barred = this.#getBarred(call);
		const end = barred === undefined ? await this.#attempt(call) : Err(barred);
		this.#options.journal.addEnd(exchange, call.route, end);
		return end;
	}

	async #identify(exchange: Exchange): Promise<Result<RelayCall, Failure>> {
		const plan = this.#options.getPlan();
		if (plan === undefined) {
			return Err(notRun('not-ready', 'This host has no plan yet.'));
		}

		const {headers, url, receivedAtMs} = exchange.incoming;
		const route = plan.table.getRoute(headers.host ?? '', url);
		if (route === undefined) {
			return Err(
				notRun(
					'service-unknown',
					`No route for "${headers.host ?? ''}${url}" in version ${plan.version}.`,
				),
			);
		}

		const deadlineMs = receivedAtMs + this.#getTimeMs(exchange, route);
		const body = await this.#readBody(exchange, plan.limits, deadlineMs);
		const service = this.#options.splits.pick(route);
		return body.map((bytes) => {
			exchange.bodyBytes = bytes;
			const isReturning = this.#options.patience.isReturning(
				route.name,
				this.#getGivenMs(exchange),
			);
			return {exchange, route, service, deadlineMs, body: bytes, isReturning};
		});
	}

	#getTimeMs(exchange: Exchange, {timeoutMs}: Route): number {
		return Math.min(this.#getGivenMs(exchange) ?? timeoutMs, timeoutMs);
	}

	/** Gets how long the caller says that it waits, in milliseconds. */
	#getGivenMs({incoming}: Exchange): number | undefined {
		const given = Number(
			incoming.headers[this.#options.protocol.deadlineHeader],
		);
		return given > 0 ? given : undefined;
	}

	async #readBody(
		exchange: Exchange,
		{bodyBytes}: CallerLimits,
		deadlineMs: number,
	): Promise<Result<Buffer | undefined, Failure>> {
		const {headers, body} = exchange.incoming;
		const length = headers['content-length'];
		if (length === undefined && headers['transfer-encoding'] === undefined) {
			return Ok(undefined);
		}

		if (Number(length ?? 0) > bodyBytes) {
			return Err(
				notRun('body-too-large', `The body has over ${bodyBytes} bytes.`),
			);
		}

		const bounds = {
			clock: this.#options.clock,
			idleMs: bodyIdleMs,
			limitBytes: bodyBytes,
			deadlineMs,
		};
		return new BodyReader(body, bounds).read();
	}

	#getBarred({exchange}: RelayCall): Failure | undefined {
		const {suspects, clock} = this.#options;
		if (suspects.isEmpty) {
			return undefined;
		}

		const signature = getRequestSignature(exchange);
		return suspects.isBarred(signature, clock.monotonicMs())
			? notRun(
					'no-target',
					'Targets ended each time they ran this request.',
					barredRetryMs,
				)
			: undefined;
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
					? Err(this.#addReturn(call, picked.error))
					: this.#conclude(call, last, runs, picked.error.detail);
			}

			const {listed} = picked.value.state;
			tried.add(listed.id);
			sends++;
			const result = await this.#send(call, picked.value, sends);
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
	): Promise<Result<Pick, Failure>> {
		const {picker} = this.#options;
		const {route, service, deadlineMs} = call;
		return picker.pick({
			service,
			isIdempotent: route.isIdempotent,
			workMs: this.#getWorkMs(route),
			tried,
			among,
			deadlineMs,
			receivedAtMs: call.exchange.incoming.receivedAtMs,
			signal: call.exchange.incoming.signal,
			targetLatencyMs: route.targetLatencyMs,
		});
	}

	#getWorkMs({name, targetLatencyMs}: Route): number {
		return this.#options.workTimes.getMs(name, targetLatencyMs);
	}

	async #send(
		call: RelayCall,
		{state, connection, expectedMs, askedCount, waitedMs}: Pick,
		attempt: number,
	): Promise<SendResult> {
		const {clock, protocol, silenceWatch, journal} = this.#options;
		const {exchange, route, body, deadlineMs} = call;
		const {report} = state;
		const startedAtMs = clock.monotonicMs();
		const {load} = state;
		const slowness = report?.slowness ?? 1;
		const result = await new TargetSend({
			incoming: exchange.incoming,
			body,
			state,
			connection,
			protocol,
			clock,
			deadlineMs,
			silenceWatch: route.isIdempotent ? silenceWatch : undefined,
		}).run();
		const durationMs = clock.monotonicMs() - startedAtMs;
		if (result.kind === 'answered' && result.answer.status < lowestFault) {
			this.#learn(call, {load, slots: state.slots}, durationMs / slowness);
		}

		this.#options.picker.noteReport(call.service);
		this.#noteCrash(call, state, result);
		if (isTargetsFault(result)) {
			this.#options.onFailure(state);
		}

		journal.addSend(exchange, {
			attempt,
			target: state.listed.id,
			load,
			slots: state.slots,
			slowness,
			reportAgeMs: startedAtMs - (report?.receivedAtMs ?? startedAtMs),
			askedCount,
			waitedMs,
			expectedMs,
			durationMs,
			result,
		});
		return result;
	}

	#learn(
		{route, service}: RelayCall,
		{load, slots}: {readonly load: number; readonly slots: number},
		durationMs: number,
	): void {
		const {workTimes, lastSlot} = this.#options;
		const isLastSlot = load + 1 === slots;
		if (load + 1 < slots || slots === 1) {
			workTimes.add(route.name, durationMs);
		}

		if (load < slots) {
			const relativeMs = durationMs / this.#getWorkMs(route);
			lastSlot.add(service, isLastSlot, relativeMs);
		}
	}

	/** A request under which a connection broke may have crashed the target. */
	#noteCrash(
		{exchange}: RelayCall,
		state: Pick['state'],
		result: SendResult,
	): void {
		const {suspects, clock} = this.#options;
		if (result.kind === 'answered' && !suspects.isEmpty) {
			suspects.clear(getRequestSignature(exchange));
		}

		if (result.kind === 'broken' && result.cause === 'broken') {
			const brokenAtMs = clock.monotonicMs();
			const signature = getRequestSignature(exchange);
			this.#options.onBroken(state, signature);
			suspects.addIncident(signature, {
				life: state.listed.life,
				atMs: brokenAtMs,
				hasEnded: () =>
					state.unreachableAtMs > brokenAtMs && state.heardAtMs < brokenAtMs,
			});
		}
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

		const detail = describe(last) + (reason === undefined ? '' : `; ${reason}`);
		if (runs === 0) {
			// Targets with room refuse at random, so that coming back soon helps.
			return Err(notRun('target-refused', detail, refusedReturnMs));
		}

		const isOverdue = last.kind === 'broken' && last.cause === 'overdue';
		return Err(
			perhapsRun(isOverdue ? 'deadline-exceeded' : 'target-failed', detail),
		);
	}

	/** Tells the caller to come back while it still waits. */
	#addReturn({deadlineMs, exchange}: RelayCall, failure: Failure): Failure {
		const {clock} = this.#options;
		const givenMs = this.#getGivenMs(exchange);
		const endMs =
			givenMs === undefined
				? deadlineMs
				: exchange.incoming.receivedAtMs + givenMs;
		const leftMs = endMs - clock.monotonicMs();
		const retryAfterMs = Math.max(shortestReturnMs, leftMs * returnShare * 0.9);
		return {...failure, retryAfterMs: Math.min(retryAfterMs, 1000)};
	}

	#getAllowance(service: string): RetryAllowance {
		const {retryBound, getHostCount} = this.#options;
		const known = this.#allowances.get(service);
		const allowance = known ?? new RetryAllowance(retryBound, getHostCount);
		this.#allowances.set(service, allowance);
		return allowance;
	}
}

/** Gets what is passed on if no further send does better. */
function getBetter(
	former: SendResult | undefined,
	latest: SendResult,
): SendResult {
	return former === undefined || getWorth(latest) >= getWorth(former)
		? latest
		: former;
}

/** Orders results by what they are worth to the caller. */
function getWorth(result: SendResult): number {
	if (result.kind !== 'answered') {
		return 0;
	}

	return result.answer.status < lowestFault ? 2 : 1;
}

/** An answer that ends with its connection may be a half, so another is better. */
function isGood(result: SendResult): boolean {
	return (
		result.kind === 'answered' &&
		result.answer.status < lowestFault &&
		result.answer.isOpenEnded !== true
	);
}

function mayHaveRun(result: SendResult): boolean {
	return (
		result.kind === 'answered' ||
		(result.kind === 'broken' && result.mayHaveRun)
	);
}

function isTargetsFault(result: SendResult): boolean {
	return result.kind === 'answered'
		? result.answer.status >= lowestFault
		: result.kind === 'broken' && result.cause === 'broken';
}

function describe(result: SendResult): string {
	switch (result.kind) {
		case 'answered': {
			return `answered with status ${result.answer.status}`;
		}

		case 'refused': {
			return `refused with status ${result.status}`;
		}

		case 'broken': {
			return `${result.cause}: ${result.detail}`;
		}
	}
}

/** Decides which calls of one service go where and when, without any I/O. */

import type {DataCentre, Service} from '@bilberryscale/bundle';
import {
	notRun,
	type Failure,
	type RandomSource,
	type TargetId,
} from '@bilberryscale/core';
import type {TargetChoice} from '../choice/target-choice.js';
import type {Outcome} from '../target/outcome.js';
import {TargetState} from '../target/target-state.js';
import type {Call, Decision, Grant, Refusal, Settlement} from './call.js';

/** What a dispatcher works with. */
export type ServiceDispatcherOptions = {
	readonly service: Service;
	readonly dataCentres: readonly DataCentre[];
	readonly chooseTarget: TargetChoice;
	readonly random: RandomSource;
};

type WaitingCall = {
	readonly call: Call;
	readonly expiresAtMs: number;
};

/** The decisions of one host about one service. */
export class ServiceDispatcher {
	#service: Service;
	#targets = new Map<TargetId, TargetState>();
	#eligible: readonly TargetState[] = [];
	#queue: WaitingCall[] = [];
	readonly #chooseTarget: TargetChoice;
	readonly #random: RandomSource;

	/**
	 * @param options - The service and the policies.
	 */
	constructor(options: ServiceDispatcherOptions) {
		this.#service = options.service;
		this.#chooseTarget = options.chooseTarget;
		this.#random = options.random;
		this.setService(options.service, options.dataCentres);
	}

	/** Gets the service as the bundle in force states it. */
	get service(): Service {
		return this.#service;
	}

	/**
	 * Takes a changed bundle into force; the state of kept targets stays.
	 *
	 * @param service - The service as the new bundle states it.
	 * @param dataCentres - The data centres of the new bundle.
	 */
	setService(service: Service, dataCentres: readonly DataCentre[]): void {
		this.#service = service;
		const states = service.targets.map((target) => {
			const state = this.#targets.get(target.id) ?? new TargetState(target);
			state.target = target;
			return state;
		});
		this.#targets = new Map(states.map((state) => [state.target.id, state]));
		const inService = new Set(
			dataCentres.filter(({state}) => state === 'in').map(({id}) => id),
		);
		this.#eligible = states.filter(({target}) =>
			inService.has(target.dataCentre),
		);
	}

	/**
	 * Decides about a call that has just come.
	 *
	 * @param call - The call.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Where to send it, that it waits, or why it is refused.
	 */
	offer(call: Call, nowMs: number): Decision {
		if (this.#eligible.length === 0) {
			return refuse(
				call,
				notRun('no-target', `No target of "${this.#service.name}" is in.`),
			);
		}

		const grant = this.#grant(call, nowMs);
		return grant ?? this.#enqueue(call, nowMs);
	}

	/**
	 * Takes in the end of a send and settles calls that can go now.
	 *
	 * @param target - The target that the send went to.
	 * @param outcome - How it ended.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The calls that waited and are now settled.
	 */
	finish(
		target: TargetState,
		outcome: Outcome,
		nowMs: number,
	): readonly Settlement[] {
		target.end(outcome);
		return this.settle(nowMs);
	}

	/**
	 * Settles every waiting call that can be sent or has waited too long.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The calls that are now settled.
	 */
	settle(nowMs: number): readonly Settlement[] {
		const settled: Settlement[] = [];
		const kept: WaitingCall[] = [];
		for (const waiting of this.#queue) {
			const settlement = this.#settleOne(waiting, nowMs);
			if (settlement === undefined) {
				kept.push(waiting);
			} else {
				settled.push(settlement);
			}
		}

		this.#queue = kept;
		return settled;
	}

	/**
	 * Takes back a waiting call whose caller has gone.
	 *
	 * @param call - The call.
	 */
	withdraw(call: Call): void {
		this.#queue = this.#queue.filter((waiting) => waiting.call !== call);
	}

	#settleOne(waiting: WaitingCall, nowMs: number): Settlement | undefined {
		const {call, expiresAtMs} = waiting;
		if (nowMs >= call.deadlineMs) {
			return refuse(
				call,
				notRun('deadline-exceeded', 'The deadline passed in the queue.'),
			);
		}

		return nowMs >= expiresAtMs
			? refuse(call, this.#describeLongWait())
			: this.#grant(call, nowMs);
	}

	#describeLongWait(): Failure {
		const {name, limits} = this.#service;
		return notRun(
			'queue-timeout',
			`No target of "${name}" was free within ${limits.queueTimeMs} ms.`,
		);
	}

	#grant(call: Call, nowMs: number): Grant | undefined {
		const free = this.#eligible.filter(
			(state) => state.outstanding < state.target.slots,
		);
		const fresh = free.filter(
			({target}) => !call.triedTargets.includes(target.id),
		);
		const candidates = fresh.length > 0 ? fresh : free;
		if (candidates.length === 0) {
			return undefined;
		}

		const target = this.#chooseTarget({
			candidates,
			random: this.#random,
			nowMs,
		});
		target.begin();
		return {kind: 'grant', call, target};
	}

	#enqueue(call: Call, nowMs: number): Decision {
		const {queueLength, queueTimeMs} = this.#service.limits;
		if (this.#queue.length >= queueLength) {
			return refuse(
				call,
				notRun(
					'over-capacity',
					`${queueLength} calls of "${this.#service.name}" wait already.`,
				),
			);
		}

		this.#queue.push({call, expiresAtMs: nowMs + queueTimeMs});
		return {kind: 'wait', call};
	}
}

function refuse(call: Call, failure: Failure): Refusal {
	return {kind: 'refusal', call, failure};
}

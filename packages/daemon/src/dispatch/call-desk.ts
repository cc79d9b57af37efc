/** Joins the pure decisions with the calls that wait for them. */

import type {Bundle, Service} from '@bilberryscale/bundle';
import {
	notRun,
	type AuditSink,
	type Clock,
	type DataCentreId,
	type Failure,
	type RandomSource,
	type ServiceName,
} from '@bilberryscale/core';
import {
	CrashSuspects,
	loneFleet,
	makeChoice,
	ServiceDispatcher,
	type Call,
	type ChoiceName,
	type FleetView,
	type Outcome,
	type Settlement,
	type TargetState,
} from '@bilberryscale/decisions';
import {Err, Ok, type Result} from 'ts-results-es';
import {WakeTimer} from './wake-timer.js';

/** What a desk works with. */
export type CallDeskOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	/** How targets are chosen. */
	readonly choice: ChoiceName;
	readonly audit: AuditSink;
};

type Waiter = (result: Result<TargetState, Failure>) => void;

/** Hands out targets to calls; it owns one dispatcher for each service. */
export class CallDesk {
	/** The requests that may have crashed targets. */
	readonly suspects = new CrashSuspects();
	readonly #options: CallDeskOptions;
	#dispatchers = new Map<ServiceName, ServiceDispatcher>();
	readonly #timers = new Map<ServiceDispatcher, WakeTimer>();
	readonly #waiters = new Map<Call, Waiter>();
	#fleet = loneFleet;

	/**
	 * @param options - The clock and the policies of the decisions.
	 */
	constructor(options: CallDeskOptions) {
		this.#options = options;
	}

	/**
	 * Takes a bundle into force.
	 *
	 * @param bundle - The bundle.
	 */
	setBundle(bundle: Bundle): void {
		const former = this.#dispatchers;
		this.#dispatchers = new Map();
		for (const service of bundle.services) {
			const dispatcher = former.get(service.name);
			former.delete(service.name);
			this.#dispatchers.set(
				service.name,
				dispatcher === undefined
					? this.#makeDispatcher(service, bundle)
					: this.#updateDispatcher(dispatcher, service, bundle),
			);
		}

		for (const dispatcher of former.values()) {
			this.#removeDispatcher(dispatcher);
		}
	}

	/**
	 * Takes over how many hosts there are.
	 *
	 * @param fleet - The fleet and this host's place in it.
	 */
	setFleet(fleet: FleetView): void {
		this.#fleet = fleet;
		for (const dispatcher of this.#dispatchers.values()) {
			dispatcher.setFleet(fleet, this.#nowMs());
			this.#settle(dispatcher, dispatcher.settle(this.#nowMs()));
		}
	}

	/**
	 * Gets the dispatcher of a service.
	 *
	 * @param name - The name of the service.
	 * @returns The dispatcher, if the bundle in force has the service.
	 */
	getDispatcher(name: ServiceName): ServiceDispatcher | undefined {
		return this.#dispatchers.get(name);
	}

	/**
	 * Waits until a call may be sent.
	 *
	 * @param dispatcher - The dispatcher of the call's service.
	 * @param call - The call.
	 * @param signal - Aborts the wait when the caller goes.
	 * @returns The target to send to, or why the call is refused.
	 */
	async acquire(
		dispatcher: ServiceDispatcher,
		call: Call,
		signal: AbortSignal,
	): Promise<Result<TargetState, Failure>> {
		const {decision, settled} = dispatcher.offer(call, this.#nowMs());
		const result =
			decision.kind === 'wait'
				? this.#wait(dispatcher, call, signal)
				: getResult(decision);
		this.#settle(dispatcher, settled);
		return result;
	}

	/**
	 * Gives a target back after a send.
	 *
	 * @param dispatcher - The dispatcher of the call's service.
	 * @param target - The target.
	 * @param outcome - How the send ended.
	 */
	release(
		dispatcher: ServiceDispatcher,
		target: TargetState,
		outcome: Outcome,
	): void {
		this.#settle(dispatcher, dispatcher.finish(target, outcome, this.#nowMs()));
	}

	async #wait(
		dispatcher: ServiceDispatcher,
		call: Call,
		signal: AbortSignal,
	): Promise<Result<TargetState, Failure>> {
		return new Promise((resolve) => {
			const leave = () => {
				dispatcher.withdraw(call);
				this.#waiters.get(call)?.(
					Err(notRun('internal', 'The caller has gone.')),
				);
			};

			this.#waiters.set(call, (result) => {
				this.#waiters.delete(call);
				signal.removeEventListener('abort', leave);
				resolve(result);
			});
			signal.addEventListener('abort', leave, {once: true});
		});
	}

	#settle(
		dispatcher: ServiceDispatcher,
		settlements: readonly Settlement[],
	): void {
		for (const settlement of settlements) {
			this.#waiters.get(settlement.call)?.(getResult(settlement));
		}

		this.#timers.get(dispatcher)?.set(dispatcher.getNextWakeMs());
	}

	#makeDispatcher(service: Service, bundle: Bundle): ServiceDispatcher {
		const {clock, random, dataCentre, choice, audit} = this.#options;
		const dispatcher = new ServiceDispatcher({
			...bundle,
			service,
			dataCentre,
			chooseTarget: makeChoice(choice),
			random,
			audit,
			nowMs: this.#nowMs(),
		});
		dispatcher.setFleet(this.#fleet, this.#nowMs());
		const timer = new WakeTimer(clock, () => {
			this.#settle(dispatcher, dispatcher.settle(this.#nowMs()));
		});
		this.#timers.set(dispatcher, timer);
		return dispatcher;
	}

	#updateDispatcher(
		dispatcher: ServiceDispatcher,
		service: Service,
		bundle: Bundle,
	): ServiceDispatcher {
		const plan = {...bundle, service};
		this.#settle(dispatcher, dispatcher.setPlan(plan, this.#nowMs()));
		return dispatcher;
	}

	#removeDispatcher(dispatcher: ServiceDispatcher): void {
		const {name} = dispatcher.service;
		const failure = notRun('service-unknown', `No service "${name}" any more.`);
		this.#settle(dispatcher, dispatcher.refuseAll(failure));
		this.#timers.delete(dispatcher);
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}
}

function getResult(settlement: Settlement): Result<TargetState, Failure> {
	return settlement.kind === 'grant'
		? Ok(settlement.target)
		: Err(settlement.failure);
}

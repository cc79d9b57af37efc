/** Holds the requests that wait for a target and applies the decisions of the service dispatchers to them. */

import type {Bundle, Service} from '@bilberryscale/bundle';
import {
	notRunFailure,
	type AuditSink,
	type Clock,
	type DataCentreId,
	type Failure,
	type RandomSource,
	type ServiceName,
} from '@bilberryscale/core';
import {
	CrashSuspects,
	singleHostFleet,
	makeSelectionPolicy,
	ServiceDispatcher,
	type Call,
	type SelectionPolicyName,
	type FleetView,
	type Outcome,
	type Settlement,
	type TargetState,
} from '@bilberryscale/decisions';
import {Err, Ok, type Result} from 'ts-results-es';
import {WakeTimer} from './wake-timer.js';

/** The dependencies and policies of a target allocator. */
export type TargetAllocatorOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	/** The policy that chooses targets. */
	readonly selectionPolicy: SelectionPolicyName;
	readonly audit: AuditSink;
};

type Waiter = (result: Result<TargetState, Failure>) => void;

/** Allocates targets to requests; owns one dispatcher for each service. */
export class TargetAllocator {
	/** The requests that are suspected of crashing targets. */
	readonly suspects = new CrashSuspects();
	readonly #options: TargetAllocatorOptions;
	#dispatchers = new Map<ServiceName, ServiceDispatcher>();
	readonly #timers = new Map<ServiceDispatcher, WakeTimer>();
	readonly #waiters = new Map<Call, Waiter>();
	#fleet = singleHostFleet;

	/**
	 * @param options - The dependencies and policies.
	 */
	constructor(options: TargetAllocatorOptions) {
		this.#options = options;
	}

	/**
	 * Applies a bundle: adds, updates and removes dispatchers.
	 *
	 * @param bundle - The bundle.
	 */
	setBundle(bundle: Bundle): void {
		const previous = this.#dispatchers;
		this.#dispatchers = new Map();
		for (const service of bundle.services) {
			const dispatcher = previous.get(service.name);
			previous.delete(service.name);
			this.#dispatchers.set(
				service.name,
				dispatcher === undefined
					? this.#makeDispatcher(service, bundle)
					: this.#updateDispatcher(dispatcher, service, bundle),
			);
		}

		for (const dispatcher of previous.values()) {
			this.#removeDispatcher(dispatcher);
		}
	}

	/**
	 * Updates the number of hosts and the rank of this one in every dispatcher.
	 *
	 * @param fleet - The size of the fleet and the rank of this host.
	 */
	setFleet(fleet: FleetView): void {
		this.#fleet = fleet;
		for (const dispatcher of this.#dispatchers.values()) {
			dispatcher.setFleet(fleet, this.#nowMs());
			this.#applySettlements(dispatcher, dispatcher.settle(this.#nowMs()));
		}
	}

	/**
	 * Gets the dispatcher of a service.
	 *
	 * @param name - The name of the service.
	 * @returns The dispatcher, if the current bundle contains the service.
	 */
	getDispatcher(name: ServiceName): ServiceDispatcher | undefined {
		return this.#dispatchers.get(name);
	}

	/**
	 * Waits until a request may be sent.
	 *
	 * @param dispatcher - The dispatcher of the request's service.
	 * @param call - The request.
	 * @param signal - Aborts the wait when the caller disconnects.
	 * @returns The target to send to, or the failure if the request is refused.
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
		this.#applySettlements(dispatcher, settled);
		return result;
	}

	/**
	 * Releases a target after an attempt.
	 *
	 * @param dispatcher - The dispatcher of the request's service.
	 * @param target - The target.
	 * @param outcome - The outcome of the attempt.
	 */
	release(
		dispatcher: ServiceDispatcher,
		target: TargetState,
		outcome: Outcome,
	): void {
		this.#applySettlements(
			dispatcher,
			dispatcher.finish(target, outcome, this.#nowMs()),
		);
	}

	async #wait(
		dispatcher: ServiceDispatcher,
		call: Call,
		signal: AbortSignal,
	): Promise<Result<TargetState, Failure>> {
		return new Promise((resolve) => {
			const onAbort = () => {
				dispatcher.withdraw(call);
				this.#waiters.get(call)?.(
					Err(notRunFailure('internal', 'The caller has gone.')),
				);
			};

			this.#waiters.set(call, (result) => {
				this.#waiters.delete(call);
				signal.removeEventListener('abort', onAbort);
				resolve(result);
			});
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}

	#applySettlements(
		dispatcher: ServiceDispatcher,
		settlements: readonly Settlement[],
	): void {
		for (const settlement of settlements) {
			this.#waiters.get(settlement.call)?.(getResult(settlement));
		}

		this.#timers.get(dispatcher)?.set(dispatcher.getNextWakeMs());
	}

	#makeDispatcher(service: Service, bundle: Bundle): ServiceDispatcher {
		const {clock, random, dataCentre, selectionPolicy, audit} = this.#options;
		const dispatcher = new ServiceDispatcher({
			...bundle,
			service,
			dataCentre,
			chooseTarget: makeSelectionPolicy(selectionPolicy),
			random,
			audit,
			nowMs: this.#nowMs(),
		});
		dispatcher.setFleet(this.#fleet, this.#nowMs());
		const timer = new WakeTimer(clock, () => {
			this.#applySettlements(dispatcher, dispatcher.settle(this.#nowMs()));
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
		this.#applySettlements(dispatcher, dispatcher.setPlan(plan, this.#nowMs()));
		return dispatcher;
	}

	#removeDispatcher(dispatcher: ServiceDispatcher): void {
		const {name} = dispatcher.service;
		const failure = notRunFailure(
			'service-unknown',
			`No service "${name}" any more.`,
		);
		this.#applySettlements(dispatcher, dispatcher.refuseAll(failure));
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

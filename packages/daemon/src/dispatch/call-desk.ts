/** Joins the pure decisions with the calls that wait for them. */

import type {Bundle} from '@bilberryscale/bundle';
import type {
	Clock,
	Failure,
	RandomSource,
	ServiceName,
} from '@bilberryscale/core';
import {
	chooseOfTwo,
	ServiceDispatcher,
	type Call,
	type Outcome,
	type Settlement,
	type TargetState,
} from '@bilberryscale/decisions';
import {Err, Ok, type Result} from 'ts-results-es';

/** What a desk works with. */
export type CallDeskOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
};

type Waiter = (result: Result<TargetState, Failure>) => void;

const settleIntervalMs = 5;

/** Hands out targets to calls; it owns one dispatcher for each service. */
export class CallDesk {
	readonly #options: CallDeskOptions;
	#dispatchers = new Map<ServiceName, ServiceDispatcher>();
	readonly #waiters = new Map<Call, Waiter>();
	#isSettling = false;

	/**
	 * @param options - The clock and the randomness of the decisions.
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
		const entries = bundle.services.map(
			(service) =>
				[service.name, this.#makeDispatcher(service.name, bundle)] as const,
		);
		this.#dispatchers = new Map(entries);
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
		const decision = dispatcher.offer(call, this.#nowMs());
		if (decision.kind === 'grant') {
			return Ok(decision.target);
		}

		if (decision.kind === 'refusal') {
			return Err(decision.failure);
		}

		return this.#wait(dispatcher, call, signal);
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
		this.#settle(dispatcher.finish(target, outcome, this.#nowMs()));
	}

	async #wait(
		dispatcher: ServiceDispatcher,
		call: Call,
		signal: AbortSignal,
	): Promise<Result<TargetState, Failure>> {
		signal.addEventListener(
			'abort',
			() => {
				dispatcher.withdraw(call);
				this.#waiters.delete(call);
			},
			{once: true},
		);
		return new Promise((resolve) => {
			this.#waiters.set(call, resolve);
			this.#keepSettling();
		});
	}

	#keepSettling(): void {
		if (this.#isSettling) {
			return;
		}

		this.#isSettling = true;
		this.#options.clock.schedule(settleIntervalMs, () => {
			this.#isSettling = false;
			for (const dispatcher of this.#dispatchers.values()) {
				this.#settle(dispatcher.settle(this.#nowMs()));
			}

			if (this.#waiters.size > 0) {
				this.#keepSettling();
			}
		});
	}

	#settle(settlements: readonly Settlement[]): void {
		for (const settlement of settlements) {
			const waiter = this.#waiters.get(settlement.call);
			this.#waiters.delete(settlement.call);
			waiter?.(
				settlement.kind === 'grant'
					? Ok(settlement.target)
					: Err(settlement.failure),
			);
		}
	}

	#makeDispatcher(name: ServiceName, bundle: Bundle): ServiceDispatcher {
		const service = bundle.services.find((item) => item.name === name)!;
		const former = this.#dispatchers.get(name);
		if (former === undefined) {
			return new ServiceDispatcher({
				service,
				dataCentres: bundle.dataCentres,
				chooseTarget: chooseOfTwo,
				random: this.#options.random,
			});
		}

		former.setService(service, bundle.dataCentres);
		return former;
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}
}

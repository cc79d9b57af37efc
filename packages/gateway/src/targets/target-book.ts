/** The targets in use, kept in step with what is published. */

import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import {
	getOpenTargets,
	emptySnapshot,
	type RoutingSnapshot,
} from '../plan/routing-snapshot.js';
import type {ListedTarget, TargetLife} from '../plan/registered-target.js';
import type {ServicePlan} from '../plan/routing-plan.js';
import {TargetLink} from './target-link.js';
import {TargetState} from './target-state.js';

/** What the book works with. */
export type TargetBookOptions = {
	readonly clock: Clock;
	/** The local IP number that connections leave from. */
	readonly localAddress: string;
	/** How many hosts share the targets. */
	readonly getHostCount: () => number;
};

/** The part of a target's connections that the fleet leaves unused. */
const connectionReserve = 0.2;
const highestLinkLimit = 64;
const lowestLinkLimit = 2;

/** Owns the states of all targets that are published. */
export class TargetBook {
	readonly #options: TargetBookOptions;
	readonly #states = new Map<TargetId, TargetState>();
	#open = new Map<ServiceName, TargetState[]>();
	#knowledge: RoutingSnapshot = emptySnapshot;
	#services = new Map<ServiceName, ServicePlan>();

	/**
	 * @param options - The clock and the local address.
	 */
	constructor(options: TargetBookOptions) {
		this.#options = options;
	}

	/**
	 * Takes over what is published.
	 *
	 * @param knowledge - What is published.
	 */
	setKnowledge(knowledge: RoutingSnapshot): void {
		this.#knowledge = knowledge;
		this.#services = new Map(
			(knowledge.plan?.services ?? []).map((plan) => [plan.name, plan]),
		);
		this.#open = new Map();
		for (const [id, state] of this.#states) {
			if (knowledge.targets.get(id)?.life !== state.listed.life) {
				this.#states.delete(id);
				state.link.close();
			}
		}

		for (const listed of knowledge.targets.values()) {
			this.#setListed(listed);
		}
	}

	/**
	 * Gets the plan of a service.
	 *
	 * @param service - The service.
	 * @returns The plan; undefined if there is no such service.
	 */
	getServicePlan(service: ServiceName): ServicePlan | undefined {
		return this.#services.get(service);
	}

	/**
	 * Gets the targets of a service that may get new requests.
	 *
	 * @param service - The service.
	 * @returns The targets.
	 */
	getOpenTargets(service: ServiceName): readonly TargetState[] {
		const known = this.#open.get(service);
		if (known !== undefined) {
			return known;
		}

		const states = getOpenTargets(this.#knowledge, service)
			.map(({id}) => this.#states.get(id))
			.filter((state) => state !== undefined);
		this.#open.set(service, states);
		return states;
	}

	/**
	 * Tells whether a target may still get new requests.
	 *
	 * @param state - The target.
	 * @returns Whether it may.
	 */
	isOpen(state: TargetState): boolean {
		return this.getOpenTargets(state.listed.service).includes(state);
	}

	/**
	 * Notes that a target failed a request of another host.
	 *
	 * @param life - The life of the target.
	 */
	noteFailure(life: TargetLife): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const state of this.#states.values()) {
			if (state.listed.life === life) {
				state.addHeardFailure(nowMs);
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const {link} of this.#states.values()) {
			link.close();
		}
	}

	#setListed(listed: ListedTarget): void {
		const former = this.#states.get(listed.id);
		if (former !== undefined) {
			former.listed = listed;
			return;
		}

		const link = new TargetLink({
			clock: this.#options.clock,
			origin: `http://${listed.address}:${listed.port}`,
			localAddress: this.#options.localAddress,
			getLimit: () => this.#getLinkLimit(listed.service),
		});
		const nowMs = this.#options.clock.monotonicMs();
		this.#states.set(listed.id, new TargetState(listed, link, nowMs));
	}

	#getLinkLimit(service: ServiceName): number {
		const connections = this.#services.get(service)?.connections ?? 0;
		const share = Math.floor(
			(connections * (1 - connectionReserve)) / this.#options.getHostCount(),
		);
		return Math.min(highestLinkLimit, Math.max(lowestLinkLimit, share));
	}
}

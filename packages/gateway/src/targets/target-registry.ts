/** Keeps the state of every published target. */

import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import {
	getOpenTargets,
	emptySnapshot,
	type RoutingSnapshot,
} from '../plan/routing-snapshot.js';
import type {
	RegisteredTarget,
	TargetIncarnation,
} from '../plan/registered-target.js';
import type {ServicePlan} from '../plan/routing-plan.js';
import {ConnectionPool} from './connection-pool.js';
import {TargetState} from './target-state.js';

/** The dependencies of a registry. */
export type TargetRegistryOptions = {
	readonly clock: Clock;
	/** The local IP address that connections are opened from. */
	readonly localAddress: string;
	/** Gets the number of hosts that share the targets. */
	readonly getHostCount: () => number;
};

/** Share of a target's connections that all hosts together leave unused. */
const connectionReserveShare = 0.2;
const maxPoolSize = 64;
const minPoolSize = 2;

/** Owns the states of all published targets. */
export class TargetRegistry {
	readonly #options: TargetRegistryOptions;
	readonly #states = new Map<TargetId, TargetState>();
	/** The open targets by service, computed on demand after each snapshot. */
	#openTargets = new Map<ServiceName, TargetState[]>();
	#snapshot: RoutingSnapshot = emptySnapshot;
	#services = new Map<ServiceName, ServicePlan>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: TargetRegistryOptions) {
		this.#options = options;
	}

	/**
	 * Applies a snapshot: adds and updates its targets and drops those that are
	 * gone or have restarted, with their connections.
	 *
	 * @param snapshot - The published plan, targets and drained data centres.
	 */
	setSnapshot(snapshot: RoutingSnapshot): void {
		this.#snapshot = snapshot;
		this.#services = new Map(
			(snapshot.plan?.services ?? []).map((plan) => [plan.name, plan]),
		);
		this.#openTargets = new Map();
		for (const [id, state] of this.#states) {
			if (
				snapshot.targets.get(id)?.incarnation !== state.registration.incarnation
			) {
				this.#states.delete(id);
				state.pool.close();
			}
		}

		for (const registration of snapshot.targets.values()) {
			this.#register(registration);
		}
	}

	/**
	 * Gets the plan of a service from the routing plan in force.
	 *
	 * @param service - The service.
	 * @returns The plan; undefined if there is no such service.
	 */
	getServicePlan(service: ServiceName): ServicePlan | undefined {
		return this.#services.get(service);
	}

	/**
	 * Gets the targets of a service that may receive new requests.
	 *
	 * @param service - The service.
	 * @returns The targets.
	 */
	getOpenTargets(service: ServiceName): readonly TargetState[] {
		const cached = this.#openTargets.get(service);
		if (cached !== undefined) {
			return cached;
		}

		const states = getOpenTargets(this.#snapshot, service)
			.map(({id}) => this.#states.get(id))
			.filter((state) => state !== undefined);
		this.#openTargets.set(service, states);
		return states;
	}

	/**
	 * Checks whether a target may receive new requests.
	 *
	 * @param state - The target.
	 * @returns Whether it may.
	 */
	isOpen(state: TargetState): boolean {
		return this.getOpenTargets(state.registration.service).includes(state);
	}

	/**
	 * Counts a failed request that another host reported.
	 *
	 * @param incarnation - The incarnation of the target.
	 */
	addRemoteFailure(incarnation: TargetIncarnation): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const state of this.#states.values()) {
			if (state.registration.incarnation === incarnation) {
				state.addRemoteFailure(nowMs);
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const {pool} of this.#states.values()) {
			pool.close();
		}
	}

	#register(registration: RegisteredTarget): void {
		const existing = this.#states.get(registration.id);
		if (existing !== undefined) {
			existing.registration = registration;
			return;
		}

		const pool = new ConnectionPool({
			clock: this.#options.clock,
			origin: `http://${registration.address}:${registration.port}`,
			localAddress: this.#options.localAddress,
			getMaxSize: () => this.#getMaxPoolSize(registration.service),
		});
		const nowMs = this.#options.clock.monotonicMs();
		this.#states.set(
			registration.id,
			new TargetState(registration, pool, nowMs),
		);
	}

	#getMaxPoolSize(service: ServiceName): number {
		const maxConnections = this.#services.get(service)?.maxConnections ?? 0;
		const share = Math.floor(
			(maxConnections * (1 - connectionReserveShare)) /
				this.#options.getHostCount(),
		);
		return Math.min(maxPoolSize, Math.max(minPoolSize, share));
	}
}

/** Keeps the state of every published target. */

import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import type {ResponseFlood} from '@bilberryscale/daemon/edge';
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
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import type {WarmUpGate} from '../warm-up/warm-up-gate.js';
import type {LimitNotice} from './limit-notice.js';
import {ConnectionPool} from './connection-pool.js';
import {LeavingTargets} from './leaving-targets.js';
import {PathMonitor} from './path-monitor.js';
import {SharedAddresses} from './shared-addresses.js';
import {
	TargetAvailability,
	type AvailabilityNotice,
} from './target-availability.js';
import type {LimitSource} from './target-limit.js';
import {TargetLimits, type TargetLimitsOptions} from './target-limits.js';
import {TargetState} from './target-state.js';

/** The dependencies of a registry. */
export type TargetRegistryOptions = TargetLimitsOptions & {
	/** The local IP address that connections are opened from. */
	readonly localAddress: string;
	/** Gets the number of hosts that share the targets. */
	readonly getHostCount: () => number;
	/** Makes the gate by which this host takes part in the limit of a cold target. */
	readonly makeWarmUpGate: (target: RegisteredTarget) => WarmUpGate;
	/** Called when this host reaches no target any more. */
	readonly onPathLost: () => void;
};

/** Share of a target's connections that all hosts together leave unused. */
const connectionReserveShare = 0.2;
const maxPoolSize = 64;
const minPoolSize = 2;
const msPerSecond = 1000;
/** How long a target is closed after another one has responded at its address, in milliseconds. */
const displacedMs = 1000;

/** Owns the states of all published targets. */
export class TargetRegistry {
	/** Whether this host reaches any target. */
	readonly pathMonitor: PathMonitor;
	readonly #options: TargetRegistryOptions;
	readonly #states = new Map<TargetId, TargetState>();
	readonly #leavingTargets = new LeavingTargets();
	readonly #limits: TargetLimits;
	/** The open targets by service, computed on demand after each snapshot. */
	#openTargets = new Map<ServiceName, TargetState[]>();
	/** Computed on demand after each snapshot. */
	#sharedAddresses: SharedAddresses | undefined;
	#snapshot: RoutingSnapshot = emptySnapshot;
	#services = new Map<ServiceName, ServicePlan>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: TargetRegistryOptions) {
		this.#options = options;
		this.#limits = new TargetLimits(options);
		this.pathMonitor = new PathMonitor({
			...options,
			getTargetCount: () => this.#states.size,
			onLost: options.onPathLost,
		});
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
		this.#sharedAddresses = undefined;
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
	 * Gets the targets of a service that may receive new requests: published as
	 * ready in a data centre that is in service, available by their own responses,
	 * and not at an address where another target responds.
	 *
	 * @param service - The service.
	 * @returns The targets.
	 */
	getOpenTargets(service: ServiceName): readonly TargetState[] {
		const nowMs = this.#options.clock.monotonicMs();
		const published = this.#getPublishedTargets(service);
		// Copies the array only in the rare case that a target is unavailable.
		return published.every((state) => isOpen(state, nowMs))
			? published
			: published.filter((state) => isOpen(state, nowMs));
	}

	/**
	 * Gets the targets of all services that may be probed now.
	 *
	 * @returns The targets.
	 */
	getProbeableTargets(): TargetState[] {
		const nowMs = this.#options.clock.monotonicMs();
		return [...this.#states.values()].filter(
			(state) =>
				this.#services.has(state.registration.service) &&
				isOpen(state, nowMs) &&
				state.availability.limit.canProbe(nowMs),
		);
	}

	/**
	 * Checks whether this host reaches no target of a service, or none of any service.
	 *
	 * @param service - The service.
	 * @returns Whether all its open targets have last failed to respond.
	 */
	isOutOfReach(service: ServiceName): boolean {
		if (this.pathMonitor.isLost) {
			return true;
		}

		const states = this.getOpenTargets(service);
		return states.length > 0 && states.every(({isOutOfReach}) => isOutOfReach);
	}

	/**
	 * Gets when the first target of a service accepts requests again, if all that
	 * could serve it have paused.
	 *
	 * @param service - The service.
	 * @returns The time until then in milliseconds; undefined if a target is open or none has paused.
	 */
	getPauseMs(service: ServiceName): number | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		const paused = this.#getPublishedTargets(service).filter(
			({availability}) => !availability.isLeaving,
		);
		const untilMs = Math.min(
			...paused.map(({availability, floodPause}) =>
				Math.max(availability.pausedUntilMs, floodPause.untilMs),
			),
		);
		return paused.length > 0 && untilMs > nowMs ? untilMs - nowMs : undefined;
	}

	/**
	 * Records what a target's response says about its availability.
	 *
	 * @param state - The target.
	 * @param notice - The notice; undefined if the response has none.
	 * @param source - The kind of response; undefined if it cannot be attributed to a request.
	 */
	addAvailability(
		state: TargetState,
		notice: AvailabilityNotice | undefined,
		source: LimitSource | undefined,
	): void {
		if (notice === undefined) {
			return;
		}

		this.#limits.add(state, notice, source);
		const {clock, log, metrics} = this.#options;
		const {id, incarnation} = state.registration;
		if (notice.unusablePause !== undefined) {
			log.write('unusable pause of a target', {
				target: id,
				value: notice.unusablePause,
				pauseMs: notice.pauseMs,
			});
		}

		const change = state.availability.add(notice, clock.monotonicMs());
		if (change === undefined) {
			return;
		}

		metrics.recordTargetNotice(change);
		log.write(`target ${change}`, {
			target: id,
			life: incarnation,
			...(change === 'pausing' && {forMs: notice.pauseMs}),
		});
		if (change === 'leaving') {
			this.#leavingTargets.add(incarnation);
			state.pool.close();
		}
	}

	/**
	 * Records which target has responded at an address. All others that are
	 * registered there are closed, so that no request waits for probes of them.
	 *
	 * @param registration - A target that is registered at the address.
	 * @param answeredBy - The id in the response.
	 */
	addAddressHolder(registration: RegisteredTarget, answeredBy: string): void {
		const {clock, log} = this.#options;
		this.#sharedAddresses ??= new SharedAddresses(this.#states.values());
		const displaced = this.#sharedAddresses.getDisplaced(
			registration,
			answeredBy,
		);
		const newlyDisplaced = displaced.filter(
			({displacedUntilMs}) => displacedUntilMs === Number.NEGATIVE_INFINITY,
		);
		for (const state of displaced) {
			state.displacedUntilMs = clock.monotonicMs() + displacedMs;
		}

		if (newlyDisplaced.length > 0) {
			log.write('targets displaced', {
				address: registration.address,
				port: registration.port,
				answeredBy,
				targets: newlyDisplaced.map((state) => state.registration.id),
			});
		}
	}

	/**
	 * Records the limit of a target that another host reported, or that it was lifted.
	 *
	 * @param notice - The limit.
	 */
	addRemoteLimit(notice: LimitNotice): void {
		for (const state of this.#states.values()) {
			if (state.registration.incarnation === notice.incarnation) {
				this.#limits.addRemote(state, notice);
			}
		}
	}

	/**
	 * Gets when any host may send the next request to a service, if all its open
	 * targets have named limits that this host has used up.
	 *
	 * @param service - The service.
	 * @returns The time until then in milliseconds; undefined if a target may get a request now.
	 */
	getLimitWaitMs(service: ServiceName): number | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		const limits = this.getOpenTargets(service).map(
			({availability}) => availability.limit,
		);
		if (limits.length === 0 || limits.some((limit) => limit.canSend(nowMs))) {
			return undefined;
		}

		const perSecond = limits.reduce(
			(sum, limit) => sum + (limit.perSecond ?? 0),
			0,
		);
		return perSecond > 0 ? msPerSecond / perSecond : undefined;
	}

	#getPublishedTargets(service: ServiceName): readonly TargetState[] {
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
		if (registration.isDraining) {
			this.#leavingTargets.add(registration.incarnation);
		}

		const existing = this.#states.get(registration.id);
		if (existing !== undefined) {
			existing.setRegistration(registration, this.#options.clock.monotonicMs());
			if (this.#leavingTargets.has(registration.incarnation)) {
				existing.availability.setLeaving();
			}

			return;
		}

		const pool = new ConnectionPool({
			clock: this.#options.clock,
			origin: `http://${registration.address}:${registration.port}`,
			localAddress: this.#options.localAddress,
			getMaxSize: () => this.#getMaxPoolSize(registration.service),
			onFlood: (flood) => {
				this.#addFlood(state, flood);
			},
		});
		const state = new TargetState({
			registration,
			pool,
			nowMs: this.#options.clock.monotonicMs(),
			availability: new TargetAvailability(
				this.#leavingTargets.has(registration.incarnation),
				this.#limits.get(registration),
			),
			warmUp: this.#options.makeWarmUpGate(registration),
			pathMonitor: this.pathMonitor,
		});
		this.#states.set(registration.id, state);
	}

	/** Leaves a target alone that sends bytes without end; its open requests go on. */
	#addFlood(
		{registration, floodPause}: TargetState,
		{kind, bytes}: ResponseFlood,
	): void {
		const {clock, log, metrics} = this.#options;
		metrics.recordFlood(kind);
		const pauseMs = floodPause.addFlood(clock.monotonicMs());
		if (pauseMs !== undefined) {
			log.write('target flooded', {
				target: registration.id,
				life: registration.incarnation,
				kind,
				bytes,
				pauseMs,
			});
		}
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

function isOpen(
	{availability, displacedUntilMs, floodPause}: TargetState,
	nowMs: number,
): boolean {
	return (
		availability.isAvailable(nowMs) &&
		displacedUntilMs <= nowMs &&
		floodPause.untilMs <= nowMs
	);
}

/** Builds the picker of a host for tests without a network, and requests for it. */

import {
	makeId,
	type Clock,
	type DataCentreId,
	type HostId,
	type RandomSource,
} from '@bilberryscale/core';
import {ServiceCapacity} from '../../src/capacity/service-capacity.js';
import {FullTargetBehaviour} from '../../src/choice/full-target-behaviour.js';
import type {PlanVersion, RoutingPlan} from '../../src/plan/routing-plan.js';
import {LastSlotFactor} from '../../src/choice/last-slot-factor.js';
import type {PickRequest} from '../../src/choice/pick-request.js';
import {Spillover} from '../../src/choice/spillover.js';
import {TargetPicker} from '../../src/choice/target-picker.js';
import {
	TargetProber,
	type TargetProberOptions,
} from '../../src/choice/target-prober.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {
	TargetRegistry,
	type TargetRegistryOptions,
} from '../../src/targets/target-registry.js';
import {unlimitedWarmUpGate} from '../../src/warm-up/warm-up-gate.js';
import {makeTestLog, reading, testProtocol} from '../fixtures.js';

/** A plan with one service. */
export const modelPlan: RoutingPlan = {
	version: makeId<PlanVersion>(1),
	routes: [],
	services: [
		{
			name: reading,
			healthPath: '/',
			maxConnections: 1000,
			maxWarmUpRequestsPerSecond: 1,
		},
	],
	limits: {
		maxHeaderBytes: 1000,
		maxBodyBytes: 1000,
		headerTimeoutMs: 1000,
		idleTimeoutMs: 1000,
	},
};

export type ModelHostOptions = {
	readonly clock: Clock;
	readonly name: string;
	readonly dataCentre: DataCentreId;
	readonly hostCount: number;
	readonly random: RandomSource;
	/** Takes the place of the network. */
	readonly sendProbes: NonNullable<TargetProberOptions['sendProbes']>;
	/** Limits requests to cold targets; nothing does by default. */
	readonly makeWarmUpGate?: TargetRegistryOptions['makeWarmUpGate'];
};

export function makeModelHost(options: ModelHostOptions): {
	readonly registry: TargetRegistry;
	readonly picker: TargetPicker;
	readonly fullTargets: FullTargetBehaviour;
} {
	const {
		clock,
		name,
		hostCount,
		makeWarmUpGate = () => unlimitedWarmUpGate,
	} = options;
	const {log} = makeTestLog(clock);
	const getHostCount = () => hostCount;
	const registry = new TargetRegistry({
		clock,
		log,
		metrics: new GatewayMetrics(),
		localAddress: '127.0.0.1',
		getHostCount,
		makeLimitPolicy: () => ({
			getShare: (perSecond) => perSecond,
			getCheckDelayMs: () => 1000,
		}),
		makeWarmUpGate,
		onLimitChange: () => undefined,
		onPathLost: () => undefined,
	});
	const prober = new TargetProber({
		...options,
		log,
		registry,
		protocol: testProtocol,
		host: makeId<HostId>(name),
		getProbesPerTargetSecond: () => 60,
		getHostCount,
	});
	const metrics = new GatewayMetrics();
	const fullTargets = new FullTargetBehaviour(clock);
	const picker = new TargetPicker({
		...options,
		metrics,
		capacity: new ServiceCapacity({
			clock,
			log,
			metrics,
			getTargets: (service) => registry.getOpenTargets(service),
			getHostCount,
		}),
		registry,
		prober,
		spillover: new Spillover(clock),
		hasCapacityManagement: () => true,
		onFarSend: () => undefined,
		lastSlotFactor: new LastSlotFactor(),
		fullTargets,
	});
	return {registry, picker, fullTargets};
}

export function makePickRequest(
	changes: Partial<PickRequest> & Pick<PickRequest, 'receivedAtMs'>,
): PickRequest {
	return {
		service: reading,
		isIdempotent: true,
		serviceTimeMs: 200,
		triedTargets: new Set(),
		allowedTargets: undefined,
		priority: 0,
		isReturning: false,
		isOverdue: false,
		endsOutOfReach: false,
		targetLatencyMs: 600,
		deadlineMs: changes.receivedAtMs + 2500,
		signal: new AbortController().signal,
		...changes,
	};
}

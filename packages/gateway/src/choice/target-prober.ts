/** Probes targets for their load just before requests are sent. */

import type {
	Clock,
	DataCentreId,
	HostId,
	RandomSource,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';
import {ProbeBudget} from '../limits/probe-budget.js';
import type {EventLog} from '../records/event-log.js';
import {getRendezvousRank} from '../targets/get-rendezvous-rank.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {probeTargets} from './probe-targets.js';
import {isEligible, type PickRequest} from './pick-request.js';
import {
	getTargetSubset,
	memoizeRank,
	orderByRank,
	type GetTargetRank,
} from './target-subset.js';

/** The dependencies of a prober. */
export type TargetProberOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly registry: TargetRegistry;
	readonly protocol: TargetProtocol;
	readonly host: HostId;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	/** Gets how many probes per second a target may get from all hosts together. */
	readonly getProbesPerTargetSecond: () => number;
	readonly getHostCount: () => number;
	/** Sends a round of probes; a test replaces it. */
	readonly sendProbes?: typeof probeTargets;
	/** Called with the number of probes of a round that go to other data centres. */
	readonly onFarProbes?: (service: ServiceName, count: number) => void;
};

/**
 * Which targets are probed: this host's subset of the targets in its own data
 * centre (near targets), the others there, or any of them; this host's subset of
 * the targets in other data centres (far targets), the next ones of these in
 * the order of this host, or any of them; or any target.
 */
export type ProbeScope =
	'subset' | 'near' | 'any-near' | 'far' | 'other-far' | 'any-far' | 'any';

/** The number of targets of a service that a host probes for each request while one of them is acceptable. */
const subsetSize = 4;
/** Time after its start in which a round of near probes also serves other requests, in milliseconds. */
const nearRoundSharingMs = 3;
/** The same for far probes, which cost bytes between data centres; a pick relies on reports of up to 15 ms. */
const farRoundSharingMs = 14;
/** A far target that reported no free slot but its last one is not probed again within this time, in milliseconds. */
const fullFarTargetRestMs = 100;

/**
 * Probes targets within a budget, but at least one in each round of probes;
 * requests that arrive together share a round.
 */
export class TargetProber {
	readonly #options: TargetProberOptions;
	readonly #getRank: GetTargetRank;
	readonly #budgets = new Map<ServiceName, ProbeBudget>();
	readonly #rounds = new Map<
		string,
		{readonly startedAtMs: number; readonly end: Promise<void>}
	>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: TargetProberOptions) {
		this.#options = options;
		this.#getRank = memoizeRank(({registration}) =>
			getRendezvousRank(options.host, registration.id),
		);
	}

	/**
	 * Probes targets, or waits for a round of probes that has just started.
	 *
	 * @param request - The request that needs a target.
	 * @param maxCount - The maximum number of targets to probe.
	 * @param scope - Which targets to probe.
	 * @returns The number of probed targets; their states hold the responses.
	 */
	async probe(
		request: PickRequest,
		maxCount: number,
		scope: ProbeScope,
	): Promise<number> {
		const {registry, clock, protocol, log} = this.#options;
		const {service} = request;
		const nowMs = clock.monotonicMs();
		const key = `${service} ${scope}`;
		const running = this.#rounds.get(key);
		if (
			running !== undefined &&
			nowMs - running.startedAtMs <=
				(isFar(scope) ? farRoundSharingMs : nearRoundSharingMs)
		) {
			await running.end;
			return 0;
		}

		const states = this.#chooseTargets(request, maxCount, scope);
		if (states.length === 0) {
			return 0;
		}

		const healthPath = registry.getServicePlan(service)?.healthPath ?? '/';
		const {sendProbes = probeTargets, onFarProbes} = this.#options;
		if (isFar(scope)) {
			onFarProbes?.(service, states.length);
		}

		const end = sendProbes({
			states,
			healthPath,
			protocol,
			clock,
			log,
			onNotice(state, notice) {
				registry.addAvailability(state, notice, 'probe');
			},
			onIdentified(registration, answeredBy) {
				registry.addAddressHolder(registration, answeredBy);
			},
		});
		this.#rounds.set(key, {startedAtMs: nowMs, end});
		await end;
		return states.length;
	}

	#chooseTargets(
		request: PickRequest,
		maxCount: number,
		scope: ProbeScope,
	): TargetState[] {
		const {service} = request;
		const {clock, random, registry} = this.#options;
		const nowMs = clock.monotonicMs();
		const open = this.#getTargetsInScope(service, scope, nowMs).filter(
			({registration, availability}) =>
				isEligible(request, registration.id) &&
				availability.limit.canProbe(nowMs),
		);
		const preferred = open.filter(({avoidUntilMs}) => avoidUntilMs <= nowMs);
		const candidates = preferred.length > 0 ? preferred : open;
		const allowed = this.#getBudget(service).take(
			Math.min(maxCount, candidates.length),
			// The share of this host is that of all targets: it spends on few what others spend on the rest.
			registry.getOpenTargets(service).length,
			nowMs,
		);
		const ordered = isFar(scope)
			? candidates
			: candidates
					.map((state) => ({state, rank: random()}))
					.toSorted((a, b) => a.rank - b.rank)
					.map(({state}) => state);
		return ordered.slice(0, Math.max(1, allowed));
	}

	/** Gets the targets of a scope; far ones in the order of this host, so that it keeps to few connections. */
	#getTargetsInScope(
		service: ServiceName,
		scope: ProbeScope,
		nowMs: number,
	): readonly TargetState[] {
		const {registry, dataCentre} = this.#options;
		const open = registry.getOpenTargets(service);
		if (scope === 'any') {
			return open;
		}

		const isNear = ({registration}: TargetState) =>
			registration.dataCentre === dataCentre;
		if (isFar(scope)) {
			// Requests that last long may hold all connections to a target of the subset.
			const far = open.filter(
				(state) => !isNear(state) && state.pool.isAvailable,
			);
			const rested = far.filter((state) => !isResting(state, nowMs));
			return orderByRank(rested.length > 0 ? rested : far, this.#getRank);
		}

		if (scope === 'any-far') {
			return open.filter((state) => !isNear(state));
		}

		const near = open.filter((state) => isNear(state));
		if (scope === 'any-near') {
			return near;
		}

		const subset = getTargetSubset(near, this.#getRank, subsetSize);
		return scope === 'subset'
			? subset
			: near.filter((state) => !subset.includes(state));
	}

	#getBudget(service: ServiceName): ProbeBudget {
		const {getProbesPerTargetSecond, getHostCount} = this.#options;
		const existing = this.#budgets.get(service);
		const budget =
			existing ?? new ProbeBudget(getProbesPerTargetSecond, getHostCount);
		this.#budgets.set(service, budget);
		return budget;
	}
}

function isFar(scope: ProbeScope): boolean {
	return scope === 'far' || scope === 'other-far';
}

/** Checks whether a target has just reported that it is full, or that only its last slot of several is free. */
function isResting({report, load, slots}: TargetState, nowMs: number): boolean {
	return (
		report !== undefined &&
		nowMs - report.receivedAtMs < fullFarTargetRestMs &&
		load >= Math.max(1, slots - 1)
	);
}

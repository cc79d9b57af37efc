/** Shares the capacity of services among requests of different priorities. */

import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import {
	decideReservation,
	getReservedDepth,
	type RankReservation,
} from '../choice/rank-admission.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {getRendezvousRank} from '../targets/get-rendezvous-rank.js';
import type {CapacityRecord} from './capacity-record.js';
import {
	ServiceUtilization,
	type ReportingTarget,
} from './service-utilization.js';

/** A target whose slots are shared. */
export type SharedTarget = ReportingTarget & {
	readonly registration: {readonly id: TargetId};
	readonly slots: number;
};

/** The dependencies of a capacity control. */
export type ServiceCapacityOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Pick<GatewayMetrics, 'recordUtilization'>;
	/** Gets the targets of a service that may receive requests. */
	readonly getTargets: (service: ServiceName) => readonly SharedTarget[];
	/** Gets the number of hosts that share the targets. */
	readonly getHostCount: () => number;
};

/** A request as far as its rank goes. */
export type RankedRequest = {
	readonly service: ServiceName;
	/** 0 is the most urgent. */
	readonly priority: number;
};

type ServiceState = {
	/** The most urgent rank first. */
	readonly ranks: readonly number[];
	readonly reservations: Map<number, RankReservation>;
	/** The share of the targets with a reservation in the last log line, by rank. */
	readonly logged: Map<number, number>;
	decidedAtMs: number;
};

/** Interval at which reservations are decided again, in milliseconds. */
const decisionIntervalMs = 100;
/** Time after the start of the host in which some urgent demand is assumed although none was seen, in milliseconds. */
const learningMs = 5000;
/** Demand assumed in that time, in slots of the whole service. */
const assumedDemand = 0.1;
/** Difference from the last logged share of the targets that is logged again. */
const loggedDifference = 0.2;
const idleReservation: RankReservation = {isActive: false, targetShare: 0};
/** Number of places of targets kept beyond which all are computed again; it exceeds the targets of a large deployment. */
const maxPlaces = 10_000;

/** Decides for the services with several priorities which slots less urgent requests leave free. */
export class ServiceCapacity {
	readonly #options: ServiceCapacityOptions;
	readonly #startedAtMs: number;
	readonly #utilization: ServiceUtilization;
	readonly #services = new Map<ServiceName, ServiceState>();
	readonly #places = new Map<TargetId, number>();
	/** The service whose record comes first in the next gossip message, as not all may fit into one. */
	#firstRecord = 0;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: ServiceCapacityOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#utilization = new ServiceUtilization(options);
	}

	/**
	 * Applies the ranks of a routing plan.
	 *
	 * @param serviceRanks - The ranks by service, the most urgent first.
	 */
	setRanks(serviceRanks: ReadonlyMap<ServiceName, readonly number[]>): void {
		const previous = new Map(this.#services);
		this.#services.clear();
		for (const [service, ranks] of serviceRanks) {
			if (ranks.length > 1) {
				this.#services.set(service, {
					ranks,
					reservations: keepRanks(previous.get(service)?.reservations, ranks),
					logged: keepRanks(previous.get(service)?.logged, ranks),
					decidedAtMs: Number.NEGATIVE_INFINITY,
				});
			}
		}

		this.#utilization.retain(new Set(this.#services.keys()));
	}

	/**
	 * Checks whether requests to a service may have different priorities.
	 *
	 * @param service - The service.
	 * @returns Whether its capacity is shared by priority.
	 */
	isPrioritized(service: ServiceName): boolean {
		return this.#services.has(service);
	}

	/**
	 * Counts a request that has arrived, however often it is sent.
	 *
	 * @param service - The service.
	 * @param rank - Its priority.
	 * @param serviceTimeMs - The typical service time of such requests, in milliseconds.
	 */
	addRequest(service: ServiceName, rank: number, serviceTimeMs: number): void {
		if (this.isPrioritized(service)) {
			this.#utilization.addRequest(service, rank, serviceTimeMs);
		}
	}

	/**
	 * Checks whether a request may take a slot of a target, so that slots stay free
	 * for more urgent ones. All hosts leave the same targets' slots free, as those
	 * that one host leaves would be taken by another.
	 *
	 * @param request - The service and the priority of the request.
	 * @param target - The target and its load.
	 * @param mayContest - Whether it may also be sent to a full target, and to the last
	 * slot of one where less urgent requests leave none and are likely to come at the same time.
	 * @returns Whether it may; true if the service has only one priority.
	 */
	canTake(
		{service, priority}: RankedRequest,
		target: SharedTarget & {readonly load: number},
		mayContest: boolean,
	): boolean {
		const state = this.#services.get(service);
		if (state === undefined) {
			return true;
		}

		this.#decide(service, state);
		const {slots, load} = target;
		const place = this.#getPlace(target.registration.id);
		const {targetShare} = state.reservations.get(priority) ?? idleReservation;
		const freeSlots = slots - load;
		if (place < targetShare) {
			return freeSlots > getReservedDepth(slots);
		}

		const contested = getContested(state, priority);
		if (contested === undefined || mayContest) {
			return true;
		}

		return freeSlots > (place < contested.targetShare ? 0 : 1);
	}

	/**
	 * Checks whether requests leave slots free, since the service is short of capacity.
	 *
	 * @param service - The service.
	 * @param rank - The priority of the requests.
	 * @returns Whether they do; false if the service has only one priority.
	 */
	isShort(service: ServiceName, rank: number): boolean {
		const state = this.#services.get(service);
		if (state === undefined) {
			return false;
		}

		this.#decide(service, state);
		return state.reservations.get(rank)?.isActive ?? false;
	}

	/**
	 * Checks whether requests of any priority leave slots free.
	 *
	 * @param service - The service.
	 * @returns Whether some do; false if the service has only one priority.
	 */
	isAnyRankShort(service: ServiceName): boolean {
		const ranks = this.#services.get(service)?.ranks ?? [];
		return ranks.some((rank) => this.isShort(service, rank));
	}

	/**
	 * Gets the estimates to send to another host.
	 *
	 * @returns One record for each service with several priorities, another one first each time.
	 */
	getRecords(): readonly CapacityRecord[] {
		const services = [...this.#services.keys()];
		const first = this.#firstRecord++ % Math.max(1, services.length);
		return [...services.slice(first), ...services.slice(0, first)].map(
			(service) => this.#utilization.getRecord(service),
		);
	}

	/**
	 * Merges the estimates of another host.
	 *
	 * @param records - The estimates; those of services without several priorities here are ignored.
	 */
	addRecords(records: readonly CapacityRecord[]): void {
		for (const record of records) {
			const ranks = this.#services.get(record.service)?.ranks;
			if (ranks !== undefined) {
				const demand = new Map(
					[...record.demand].filter(([rank]) => ranks.includes(rank)),
				);
				this.#utilization.addRecord({...record, demand});
			}
		}
	}

	/** Decides the reservations of all ranks of a service again, unless that was done a moment ago. */
	#decide(service: ServiceName, state: ServiceState): void {
		const {clock, metrics, getTargets, getHostCount} = this.#options;
		const nowMs = clock.monotonicMs();
		if (nowMs - state.decidedAtMs < decisionIntervalMs) {
			return;
		}

		state.decidedAtMs = nowMs;
		const estimate = this.#utilization.get(service);
		metrics.recordUtilization(service, estimate.utilization);
		const targets = getTargets(service);
		const slots = targets.reduce((sum, target) => sum + target.slots, 0);
		const slotsPerTarget = targets.length === 0 ? 0 : slots / targets.length;
		const isLearning = nowMs - this.#startedAtMs < learningMs;
		let urgentDemand = 0;
		for (const [index, rank] of state.ranks.entries()) {
			const minDemand = index > 0 && isLearning ? assumedDemand : 0;
			const reservation = decideReservation({
				utilization: estimate.utilization,
				lessUrgentCount: state.ranks.length - 1 - index,
				urgentDemand: Math.max(minDemand, urgentDemand),
				targetCount: targets.length,
				slotsPerTarget,
				wasActive: state.reservations.get(rank)?.isActive ?? false,
			});
			state.reservations.set(rank, reservation);
			if (isLogged(reservation, state.logged.get(rank) ?? 0)) {
				state.logged.set(rank, reservation.targetShare);
				this.#options.log.writeState('rank admission changed', {
					service,
					rank,
					reservedTargetShare: round(reservation.targetShare),
					reservedSlots:
						reservation.targetShare > 0 ? getReservedDepth(slotsPerTarget) : 0,
					utilization: round(estimate.utilization),
					urgentDemand: round(urgentDemand),
					targets: targets.length,
					reportAgeMs: roundAge(estimate.reportAgeMs),
					sharedAgeMs: roundAge(estimate.sharedAgeMs),
				});
			}

			urgentDemand += (estimate.demand.get(rank) ?? 0) * getHostCount();
		}
	}

	/**
	 * Gets the place of a target in an order that all hosts share, from 0 to 1: the
	 * targets below the reserved share keep slots free.
	 */
	#getPlace(id: TargetId): number {
		const known = this.#places.get(id);
		if (known !== undefined) {
			return known;
		}

		if (this.#places.size >= maxPlaces) {
			this.#places.clear();
		}

		const place = getRendezvousRank('reserved slots', id) / 2 ** 32;
		this.#places.set(id, place);
		return place;
	}
}

function keepRanks<Value>(
	byRank: ReadonlyMap<number, Value> | undefined,
	ranks: readonly number[],
): Map<number, Value> {
	return new Map([...(byRank ?? [])].filter(([rank]) => ranks.includes(rank)));
}

/** Gets the reservation of the least urgent rank, if that rank is below the given one and leaves slots free. */
function getContested(
	{ranks, reservations}: ServiceState,
	priority: number,
): RankReservation | undefined {
	const leastUrgent = ranks.at(-1)!;
	const reservation = reservations.get(leastUrgent);
	return priority < leastUrgent && reservation?.isActive === true
		? reservation
		: undefined;
}

function isLogged(
	{targetShare}: RankReservation,
	loggedShare: number,
): boolean {
	return targetShare === 0 || loggedShare === 0
		? targetShare !== loggedShare
		: Math.abs(targetShare - loggedShare) >= loggedDifference;
}

/** Rounds to three decimals. */
function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Rounds to milliseconds; undefined, which a log line leaves out, if there is no such input. */
function roundAge(ageMs: number): number | undefined {
	return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Shares the capacity of services among requests of different priorities. */

import type {Clock, ServiceName, TargetId} from '@bilberryscale/core';
import {
	decideReservation,
	getReservedSlots,
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

type ServiceState = {
	/** The most urgent rank first. */
	readonly ranks: readonly number[];
	readonly reservations: Map<number, RankReservation>;
	/** The reserved slots per target in the last log line, by rank. */
	readonly logged: Map<number, number>;
	decidedAtMs: number;
};

/** Interval at which reservations are decided again, in milliseconds. */
const decisionIntervalMs = 100;
/** Time after the start of the host in which some urgent demand is assumed although none was seen, in milliseconds. */
const learningMs = 5000;
/** Demand assumed in that time, in slots of the whole service. */
const assumedDemand = 0.1;
/** Difference from the last logged number of reserved slots per target that is logged again. */
const loggedDifference = 0.2;
/** Number of ranks of targets kept beyond which all are computed again; it exceeds the targets of a large deployment. */
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
	 * Gets how many slots of a target must stay free when a request takes one.
	 *
	 * @param service - The service.
	 * @param rank - The priority of the request.
	 * @param id - The target.
	 * @returns The number of slots; 0 if the service has only one priority.
	 */
	getReservedSlots(service: ServiceName, rank: number, id: TargetId): number {
		const state = this.#services.get(service);
		if (state === undefined) {
			return 0;
		}

		this.#decide(service, state);
		const {slotsPerTarget = 0} = state.reservations.get(rank) ?? {};
		return slotsPerTarget === 0
			? 0
			: getReservedSlots(slotsPerTarget, this.#getPlace(id));
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
		const isLearning = nowMs - this.#startedAtMs < learningMs;
		let urgentDemand = 0;
		for (const [index, rank] of state.ranks.entries()) {
			const minDemand = index > 0 && isLearning ? assumedDemand : 0;
			const reservation = decideReservation({
				utilization: estimate.utilization,
				lessUrgentCount: state.ranks.length - 1 - index,
				urgentDemand: Math.max(minDemand, urgentDemand),
				targetCount: targets.length,
				slotsPerTarget: targets.length === 0 ? 0 : slots / targets.length,
				wasActive: state.reservations.get(rank)?.isActive ?? false,
			});
			state.reservations.set(rank, reservation);
			if (isLogged(reservation, state.logged.get(rank) ?? 0)) {
				state.logged.set(rank, reservation.slotsPerTarget);
				this.#options.log.writeState('rank admission changed', {
					service,
					rank,
					reservedSlotsPerTarget: round(reservation.slotsPerTarget),
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

function isLogged(
	{slotsPerTarget}: RankReservation,
	loggedSlotsPerTarget: number,
): boolean {
	return slotsPerTarget === 0 || loggedSlotsPerTarget === 0
		? slotsPerTarget !== loggedSlotsPerTarget
		: Math.abs(slotsPerTarget - loggedSlotsPerTarget) >= loggedDifference;
}

/** Rounds to three decimals. */
function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Rounds to milliseconds; undefined, which a log line leaves out, if there is no such input. */
function roundAge(ageMs: number): number | undefined {
	return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

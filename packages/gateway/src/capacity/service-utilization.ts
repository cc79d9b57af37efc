/** Estimates how full a service is, from this host's load reports and the estimates of other hosts. */

import type {Clock, ServiceName} from '@bilberryscale/core';
import type {LoadReport} from '../targets/load-report.js';
import type {CapacityRecord} from './capacity-record.js';
import {RankDemand} from './rank-demand.js';

/** Demand below this is dropped, in slots per host, so that ranks that are gone don't remain. */
const minDemand = 1e-4;

/** A target as far as its utilization goes. */
export type ReportingTarget = {
	readonly report: LoadReport | undefined;
};

/** The dependencies of the estimates. */
export type ServiceUtilizationOptions = {
	readonly clock: Clock;
	/** Gets the targets of a service that may receive requests. */
	readonly getTargets: (service: ServiceName) => readonly ReportingTarget[];
};

/** The estimate of a service and the ages of its inputs. */
export type UtilizationEstimate = {
	/** The share of the slots in use, from 0 to 1: the higher one of this host's own and the shared estimate. */
	readonly utilization: number;
	/** The mean number of slots per host that the requests of a rank keep busy, by rank. */
	readonly demand: ReadonlyMap<number, number>;
	/** Age of this host's newest load report, in milliseconds; infinite without one. */
	readonly reportAgeMs: number;
	/** Time since the last estimate of another host, in milliseconds; infinite without one. */
	readonly sharedAgeMs: number;
};

type SharedEstimate = {
	utilization: number;
	demand: Map<number, number>;
	updatedAtMs: number;
	heardAtMs: number;
};

type OwnEstimate = {
	readonly utilization: number | undefined;
	readonly reportAgeMs: number;
};

/** Time constant by which the weight of a load report falls with its age, in milliseconds. */
const reportDecayMs = 1000;
/** Reports with less weight than this together are no estimate. */
const minReportWeight = 0.1;
/** Time constant by which the shared estimate approaches this host's own, in milliseconds; exchanges come twice in 1500 ms. */
const sharingDecayMs = 3000;

/**
 * Keeps an estimate for each service. The shared estimate is an average by gossip:
 * two hosts that exchange estimates both go to their mean, and in between each
 * moves towards its own measurement, so that the mean over all hosts follows the
 * mean of all measurements.
 */
export class ServiceUtilization {
	readonly #options: ServiceUtilizationOptions;
	readonly #demands = new Map<ServiceName, RankDemand>();
	readonly #shared = new Map<ServiceName, SharedEstimate>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: ServiceUtilizationOptions) {
		this.#options = options;
	}

	/**
	 * Keeps the estimates of some services only.
	 *
	 * @param services - The services.
	 */
	retain(services: ReadonlySet<ServiceName>): void {
		for (const kept of [this.#demands, this.#shared]) {
			for (const service of kept.keys()) {
				if (!services.has(service)) {
					kept.delete(service);
				}
			}
		}
	}

	/**
	 * Adds a request that arrived at this host.
	 *
	 * @param service - The service.
	 * @param rank - Its rank.
	 * @param serviceTimeMs - The typical service time of such requests, in milliseconds.
	 */
	addRequest(service: ServiceName, rank: number, serviceTimeMs: number): void {
		const nowMs = this.#options.clock.monotonicMs();
		this.#getDemand(service, nowMs).add(rank, serviceTimeMs, nowMs);
	}

	/**
	 * Merges the estimate of another host.
	 *
	 * @param record - The estimate.
	 */
	addRecord({service, utilization, demand}: CapacityRecord): void {
		const nowMs = this.#options.clock.monotonicMs();
		const shared = this.#update(service, nowMs);
		shared.heardAtMs = nowMs;
		shared.utilization = (shared.utilization + utilization) / 2;
		shared.demand = mix(shared.demand, demand, 0.5);
	}

	/**
	 * Gets the estimate of a service to send to another host.
	 *
	 * @param service - The service.
	 * @returns The shared estimate.
	 */
	getRecord(service: ServiceName): CapacityRecord {
		const nowMs = this.#options.clock.monotonicMs();
		const {utilization, demand} = this.#update(service, nowMs);
		return {service, utilization, demand};
	}

	/**
	 * Gets the estimate of a service.
	 *
	 * @param service - The service.
	 * @returns The estimate and the ages of its inputs.
	 */
	get(service: ServiceName): UtilizationEstimate {
		const nowMs = this.#options.clock.monotonicMs();
		const {utilization, demand, heardAtMs} = this.#update(service, nowMs);
		const own = this.#measure(service, nowMs);
		return {
			// Too high an estimate leaves a few slots unused, too low a one refuses urgent requests.
			utilization: Math.max(utilization, own.utilization ?? 0),
			demand,
			reportAgeMs: own.reportAgeMs,
			sharedAgeMs: nowMs - heardAtMs,
		};
	}

	/** Moves the shared estimate towards this host's own measurement. */
	#update(service: ServiceName, nowMs: number): SharedEstimate {
		const own = this.#measure(service, nowMs);
		const ownDemand = this.#getDemand(service, nowMs).get(nowMs);
		const shared = this.#shared.get(service) ?? {
			utilization: own.utilization ?? 0,
			demand: ownDemand,
			updatedAtMs: nowMs,
			heardAtMs: Number.NEGATIVE_INFINITY,
		};
		this.#shared.set(service, shared);
		const share = 1 - Math.exp((shared.updatedAtMs - nowMs) / sharingDecayMs);
		shared.updatedAtMs = nowMs;
		shared.demand = mix(shared.demand, ownDemand, share);
		shared.utilization +=
			share * ((own.utilization ?? shared.utilization) - shared.utilization);
		return shared;
	}

	/** Weighs the load reports of this host by their age. */
	#measure(service: ServiceName, nowMs: number): OwnEstimate {
		let used = 0;
		let total = 0;
		let weight = 0;
		let reportAgeMs = Number.POSITIVE_INFINITY;
		for (const {report} of this.#options.getTargets(service)) {
			if (report !== undefined) {
				const {running, waiting, slots, receivedAtMs} = report;
				const reportWeight = Math.exp((receivedAtMs - nowMs) / reportDecayMs);
				weight += reportWeight;
				total += reportWeight * slots;
				used += reportWeight * Math.min(slots, running + waiting);
				reportAgeMs = Math.min(reportAgeMs, nowMs - receivedAtMs);
			}
		}

		return {
			utilization:
				weight >= minReportWeight && total > 0 ? used / total : undefined,
			reportAgeMs,
		};
	}

	#getDemand(service: ServiceName, nowMs: number): RankDemand {
		const demand = this.#demands.get(service) ?? new RankDemand(nowMs);
		this.#demands.set(service, demand);
		return demand;
	}
}

function mix(
	a: ReadonlyMap<number, number>,
	b: ReadonlyMap<number, number>,
	share: number,
): Map<number, number> {
	return new Map(
		[...new Set([...a.keys(), ...b.keys()])]
			.map(
				(rank) =>
					[
						rank,
						(1 - share) * (a.get(rank) ?? 0) + share * (b.get(rank) ?? 0),
					] as const,
			)
			.filter(([, slots]) => slots >= minDemand),
	);
}

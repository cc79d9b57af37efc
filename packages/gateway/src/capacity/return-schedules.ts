/** Keeps a return schedule for each service for which requests of different priorities compete. */

import type {Clock, RandomSource, ServiceName} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {
	ReturnSchedule,
	type RefusedCaller,
	type ReturnTime,
} from './return-schedule.js';

/** The dependencies of the schedules. */
export type ReturnSchedulesOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: Pick<GatewayMetrics, 'recordReturnTime'>;
	/** Checks whether refused callers of a service get times from a schedule. */
	readonly hasPriorityClasses: (service: ServiceName) => boolean;
};

/** A request that has arrived. */
export type ArrivedRequest = {
	readonly service: ServiceName;
	/** Its effective priority; 0 is the highest. */
	readonly priority: number;
	/** Whether its caller probably repeats a request that was refused. */
	readonly isReturning: boolean;
};

/** A refused caller and its request. */
export type RefusedRequest = RefusedCaller & {
	readonly requestId: string;
	readonly service: ServiceName;
};

const msPerSecond = 1000;

/** Owns the return schedules of this host. */
export class ReturnSchedules {
	readonly #options: ReturnSchedulesOptions;
	readonly #schedules = new Map<ServiceName, ReturnSchedule>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: ReturnSchedulesOptions) {
		this.#options = options;
	}

	/**
	 * Counts a request that has arrived, unless it returns after a refusal.
	 *
	 * @param request - The request.
	 */
	addArrival({service, priority, isReturning}: ArrivedRequest): void {
		if (!isReturning) {
			this.#getSchedule(service)?.addArrival(priority);
		}
	}

	/**
	 * Counts a request that a target has answered.
	 *
	 * @param service - The service.
	 */
	addDeparture(service: ServiceName): void {
		this.#getSchedule(service)?.addDeparture();
	}

	/**
	 * Promises a time to a refused caller and records the decision.
	 *
	 * @param request - The caller and its request.
	 * @returns When it should return; undefined if the service has no schedule.
	 */
	book(request: RefusedRequest): ReturnTime | undefined {
		const {log, metrics} = this.#options;
		const {requestId, service, rank, remainingMs} = request;
		const schedule = this.#getSchedule(service);
		if (schedule === undefined) {
			return undefined;
		}

		const time = schedule.book(request);
		metrics.recordReturnTime(service, rank, time.kind);
		log.write('return time promised', {
			requestId,
			service,
			rank,
			result: time.kind,
			...(time.kind !== 'none' && {inMs: Math.round(time.delayMs)}),
			remainingMs: Math.round(remainingMs),
			completionsPerSecond:
				Math.round(schedule.departuresPerSecond * msPerSecond) / msPerSecond,
		});
		return time;
	}

	#getSchedule(service: ServiceName): ReturnSchedule | undefined {
		if (!this.#options.hasPriorityClasses(service)) {
			this.#schedules.delete(service);
			return undefined;
		}

		const existing = this.#schedules.get(service);
		const schedule = existing ?? new ReturnSchedule(this.#options);
		this.#schedules.set(service, schedule);
		return schedule;
	}
}

/** Keeps the limits that targets have named to this host or to another one. */

import type {Clock} from '@bilberryscale/core';
import type {
	RegisteredTarget,
	TargetIncarnation,
} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import type {LimitNotice} from './limit-notice.js';
import type {AvailabilityNotice} from './target-availability.js';
import {
	TargetLimit,
	type LimitChange,
	type LimitPolicy,
	type LimitSource,
} from './target-limit.js';
import type {TargetState} from './target-state.js';

/** How this host takes part in limits, and who is told of them. */
export type TargetLimitsOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** Makes the policy by which this host takes part in a target's limit. */
	readonly makeLimitPolicy: (target: RegisteredTarget) => LimitPolicy;
	/** Called when a target has named its first limit to this host or has lifted it. */
	readonly onLimitChange: (notice: LimitNotice) => void;
};

/** The oldest limits beyond this number are forgotten; it exceeds the targets of a large deployment twice. */
const maxRememberedLimits = 10_000;

/** The limits by incarnation; they outlive published entries, which may lapse while the store is away. */
export class TargetLimits {
	readonly #options: TargetLimitsOptions;
	readonly #limitsInForce = new Map<TargetIncarnation, TargetLimit>();

	/**
	 * @param options - How this host takes part, and who is told.
	 */
	constructor(options: TargetLimitsOptions) {
		this.#options = options;
	}

	/**
	 * Gets the limit for the state of a target.
	 *
	 * @param registration - The target.
	 * @returns The limit in force, or a new one that is not.
	 */
	get(registration: RegisteredTarget): TargetLimit {
		return (
			this.#limitsInForce.get(registration.incarnation) ??
			new TargetLimit(this.#options.makeLimitPolicy(registration))
		);
	}

	/**
	 * Records what a response says. One that cannot be attributed to a request
	 * may name a limit but doesn't lift one.
	 *
	 * @param state - The target.
	 * @param notice - What the response says.
	 * @param source - The kind of response; undefined if it cannot be attributed.
	 */
	add(
		state: TargetState,
		{limitPerSecond, unusableLimit}: AvailabilityNotice,
		source: LimitSource | undefined,
	): void {
		const {clock, log, onLimitChange} = this.#options;
		const {id, incarnation} = state.registration;
		if (unusableLimit !== undefined) {
			log.write('unusable limit of a target', {
				target: id,
				value: unusableLimit,
			});
			return;
		}

		if (source === undefined && limitPerSecond === undefined) {
			return;
		}

		const knownSource = source ?? 'attempt';
		const change = state.availability.limit.add(
			limitPerSecond,
			knownSource,
			clock.monotonicMs(),
		);
		if (change !== undefined) {
			this.#recordChange(state, change, knownSource);
			onLimitChange({
				incarnation,
				perSecond: limitPerSecond,
				source: knownSource,
			});
		}
	}

	/**
	 * Records what another host reported.
	 *
	 * @param state - The target.
	 * @param notice - The limit, or that it was lifted.
	 */
	addRemote(state: TargetState, {perSecond, source}: LimitNotice): void {
		const {limit} = state.availability;
		const change =
			perSecond === undefined
				? limit.lift()
				: limit.add(perSecond, source, this.#options.clock.monotonicMs());
		if (change !== undefined) {
			this.#recordChange(state, change, 'host');
		}
	}

	#recordChange(
		{registration, availability}: TargetState,
		change: LimitChange,
		source: LimitSource | 'host',
	): void {
		const {log, metrics} = this.#options;
		const {id, incarnation} = registration;
		const {limit} = availability;
		metrics.recordTargetNotice(change);
		log.write(`target ${change}`, {
			target: id,
			life: incarnation,
			source,
			perSecond: limit.perSecond,
		});
		this.#limitsInForce.delete(incarnation);
		if (limit.isInForce) {
			this.#limitsInForce.set(incarnation, limit);
		}

		if (this.#limitsInForce.size > maxRememberedLimits) {
			const [oldest] = this.#limitsInForce.keys();
			this.#limitsInForce.delete(oldest!);
		}
	}
}

/** Many hosts that send requests to one target, which turns cold, without a network. */

import {makeId, type TargetId} from '@bilberryscale/core';
import type {TargetIncarnation} from '../../src/plan/registered-target.js';
import type {WarmUpBound} from '../../src/warm-up/warm-up-bound.js';
import type {WarmUpGate} from '../../src/warm-up/warm-up-gate.js';
import type {WarmUpPermit} from '../../src/warm-up/warm-up-permit.js';
import {
	ModelFleet,
	type Disruption,
	type ModelContext,
	type ModelHost,
	type ModelProcess,
} from '../limits/model-fleet.js';

/** What a host of the model needs from it. */
export type WarmUpHostContext = ModelContext & {
	readonly perSecond: number;
	readonly bound: WarmUpBound;
};

/** The part of a host that decides about requests to cold targets. */
export type WarmUpHost = ModelProcess & {
	readonly getGate: (id: TargetId) => WarmUpGate;
};

/** A time in which the target is cold. */
export type ColdSpell = {
	readonly atMs: number;
	readonly durationMs: number;
	/** Whether it starts again under a new id. */
	readonly isRestart: boolean;
};

/** A fleet and what happens to it. */
export type WarmUpPlan = {
	readonly hostCount: number;
	readonly requestsPerSecond: number;
	/** The rate that the service publishes, in requests per second. */
	readonly perSecond: number;
	readonly bound: WarmUpBound;
	readonly seed: number;
	readonly disruptions: readonly Disruption[];
	readonly spells: readonly ColdSpell[];
	/** Set if it keeps its id when it starts again: how long every second host goes by the entry from before, in milliseconds. */
	readonly staleEntryMs?: number;
	/** Time before the first request, in milliseconds. */
	readonly leadMs?: number;
};

type Send = {
	readonly incarnation: TargetIncarnation;
	readonly sentMs: number;
	readonly arrivedMs: number;
};

const msPerSecond = 1000;
/** How long a host goes by its last report of a target, in milliseconds. */
const reportAgeMs = 15;
/** How long requests wait for a permit, in milliseconds. */
const waitMs = 400;
const recheckMs = 45;
/** Share of the requests for which a connection has to be opened, and how long that takes at most, in milliseconds. */
const slowShare = 0.1;
const maxConnectMs = 600;

/** Plays a fleet and records the requests that reach the target while it is cold. */
export class WarmUpFleet {
	readonly sends: Send[] = [];
	readonly #plan: WarmUpPlan;
	readonly #fleet: ModelFleet<WarmUpHost>;

	constructor(
		plan: WarmUpPlan,
		startHost: (context: WarmUpHostContext) => WarmUpHost,
	) {
		this.#plan = plan;
		const {perSecond, bound} = plan;
		this.#fleet = new ModelFleet({
			...plan,
			startProcess: (context) => startHost({...context, perSecond, bound}),
		});
	}

	/**
	 * Plays the fleet; times of the plan count from the first request.
	 *
	 * @param durationMs - How long requests come, in milliseconds.
	 */
	async run(durationMs: number): Promise<void> {
		await this.#fleet.run(durationMs, this.#plan.requestsPerSecond, () => {
			const host = this.#fleet.pickHost(({process}) => process !== undefined);
			host?.clock.run(() => {
				this.#serve(host);
			});
		});
	}

	/** Gets the most requests that were sent to the cold target and reached it within one second. */
	getMostPerSecond(): number {
		const sends = this.sends.toSorted((a, b) => a.sentMs - b.sentMs);
		return Math.max(
			0,
			...sends.map(
				({incarnation, sentMs: startMs}, index) =>
					sends
						.slice(index)
						.filter(
							(other) =>
								other.incarnation === incarnation &&
								other.arrivedMs < startMs + msPerSecond,
						).length,
			),
		);
	}

	/** Gets what the target bears in one second from all hosts together. */
	getAllowed(): number {
		const {perSecond, bound} = this.#plan;
		return perSecond * bound.overRatio + bound.slack;
	}

	/** A request goes to the target once this host has a permit; a warm target needs none. */
	#serve(host: ModelHost<WarmUpHost>): void {
		const {clock, random} = this.#fleet;
		const reportAtMs = clock.monotonicMs() - random() * reportAgeMs;
		const incarnation = this.#getIncarnation(
			reportAtMs - this.#getEntryLagMs(host),
		);
		if (!this.#isCold(reportAtMs) || host.process === undefined) {
			this.#send(host, incarnation, undefined);
			return;
		}

		const gate = host.process.getGate(this.#getId(incarnation));
		const endMs = clock.monotonicMs() + waitMs;
		let hasSent = false;
		const trySend = () => {
			if (hasSent || clock.monotonicMs() > endMs) {
				return;
			}

			const permit = gate.isOpen() ? gate.take() : undefined;
			if (permit === undefined) {
				gate.request(trySend);
				host.clock.schedule(recheckMs, trySend);
			} else {
				hasSent = true;
				this.#send(host, incarnation, permit);
			}
		};

		trySend();
	}

	#send(
		host: ModelHost<WarmUpHost>,
		incarnation: TargetIncarnation,
		permit: WarmUpPermit | undefined,
	): void {
		const {clock, random} = this.#fleet;
		const connectMs = random() < slowShare ? random() * maxConnectMs : 0;
		const {process} = host;
		host.clock.schedule(connectMs, () => {
			const isKnownCold = this.#isCold(
				clock.monotonicMs() - random() * reportAgeMs,
			);
			const isPermitted =
				!isKnownCold ||
				process?.getGate(this.#getId(incarnation)).confirm(permit) === true;
			if (isPermitted) {
				this.#write(incarnation);
			}
		});
	}

	/** A target that has started again rejects requests that are meant for its former id. */
	#write(expected: TargetIncarnation): void {
		const sentMs = this.#fleet.clock.monotonicMs();
		const incarnation = this.#getIncarnation(sentMs);
		const isAccepted =
			this.#plan.staleEntryMs !== undefined || expected === incarnation;
		if (this.#isCold(sentMs) && isAccepted) {
			const arrivedMs = sentMs + 0.5 + 4.5 * this.#fleet.random();
			this.sends.push({incarnation, sentMs, arrivedMs});
		}
	}

	#getId(incarnation: TargetIncarnation): TargetId {
		return makeId<TargetId>(
			this.#plan.staleEntryMs === undefined ? incarnation : 'i-1',
		);
	}

	#getEntryLagMs(host: ModelHost<WarmUpHost>): number {
		const isStale = this.#fleet.hosts.indexOf(host) % 2 === 1;
		return isStale ? (this.#plan.staleEntryMs ?? 0) : 0;
	}

	#isCold(nowMs: number): boolean {
		const passedMs = nowMs - this.#fleet.startsAtMs;
		return this.#plan.spells.some(
			({atMs, durationMs}) => passedMs >= atMs && passedMs < atMs + durationMs,
		);
	}

	#getIncarnation(nowMs: number): TargetIncarnation {
		const passedMs = nowMs - this.#fleet.startsAtMs;
		const restartCount = this.#plan.spells.filter(
			({isRestart, atMs}) => isRestart && passedMs >= atMs,
		).length;
		return makeId<TargetIncarnation>(`i-1 ${restartCount}`);
	}
}

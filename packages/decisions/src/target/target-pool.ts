/** The pool of a service's targets, from which a call acquires one. */

import type {RandomSource, TargetId} from '@bilberryscale/core';
import type {SelectionPolicy} from '../choice/selection-policy.js';
import {singleHostFleet, type FleetView} from '../fleet/fleet-view.js';
import {BinaryHeap} from '../utils/binary-heap.js';
import {IndexedSet} from '../utils/indexed-set.js';
import type {Outcome} from './outcome.js';
import {ServiceAverages} from './service-averages.js';
import type {TargetEntry} from './target-entries.js';
import {
	TargetHealthMonitor,
	type TargetAuditSink,
} from './target-health-monitor.js';
import {TargetState} from './target-state.js';

/** The policy and the dependencies of a target pool. */
export type TargetPoolOptions = {
	readonly chooseTarget: SelectionPolicy;
	readonly random: RandomSource;
	readonly audit: TargetAuditSink;
};

type ScheduledRefresh = {
	readonly state: TargetState;
	readonly atMs: number;
};

/** Targets that come into service start at random times within this span. */
const addedTargetSpreadMs = 3000;

/**
 * Tracks the targets of one service and which of them are available.
 *
 * @remarks The available targets are kept in an indexed set, and paused ones
 * return to it by scheduled refreshes. A selection therefore takes constant
 * time, unless the policy itself scans the candidates.
 */
export class TargetPool {
	readonly averages = new ServiceAverages();
	readonly #options: TargetPoolOptions;
	readonly #healthMonitor: TargetHealthMonitor;
	readonly #available = new IndexedSet<TargetState>();
	readonly #scheduledRefreshes = new BinaryHeap<ScheduledRefresh>(
		({atMs}) => atMs,
	);

	#states = new Map<TargetId, TargetState>();
	#fleet = singleHostFleet;
	#inServiceCount = 0;

	/**
	 * @param options - The selection policy and the dependencies.
	 */
	constructor(options: TargetPoolOptions) {
		this.#options = options;
		this.#healthMonitor = new TargetHealthMonitor({
			averages: this.averages,
			random: options.random,
			audit: options.audit,
		});
	}

	/** Gets the number of targets that the bundle has in service. */
	get inServiceCount(): number {
		return this.#inServiceCount;
	}

	/**
	 * Replaces the targets by those of a bundle; retained targets keep their state.
	 *
	 * @remarks If other targets stay in service, each target that comes into
	 * service waits for a random delay, so that no step of load reaches them all
	 * at once.
	 * @param entries - The targets of the bundle.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setTargets(entries: readonly TargetEntry[], nowMs: number): void {
		const previous = this.#states;
		const hasRetained = entries.some(
			({target, isInService}) =>
				isInService && previous.get(target.id)?.isInService,
		);
		this.#states = new Map();
		for (const entry of entries) {
			const state =
				previous.get(entry.target.id) ?? new TargetState(entry.target);
			const isNew = entry.isInService && !state.isInService;
			if (isNew && hasRetained) {
				state.pausedUntilMs =
					nowMs + this.#options.random() * addedTargetSpreadMs;
			}

			state.target = entry.target;
			state.isInService = entry.isInService;
			state.roundTripMs = entry.roundTripMs;
			state.concurrencyLimit.setSlots(entry.target.slots);
			previous.delete(entry.target.id);
			this.#states.set(entry.target.id, state);
		}

		this.#removeTargets(previous.values());
		this.#inServiceCount = entries.filter((entry) => entry.isInService).length;
		this.#healthMonitor.setTargetCount(this.#inServiceCount);
		this.#refreshAll(nowMs);
	}

	/**
	 * Updates the fleet size and rank by which the cold-start limits are shared.
	 *
	 * @param fleet - The current view of the fleet.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setFleet(fleet: FleetView, nowMs: number): void {
		this.#fleet = fleet;
		this.#refreshAll(nowMs);
	}

	/**
	 * Selects a target and counts an attempt against it.
	 *
	 * @param tried - The targets of the call's previous attempts.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The target; undefined if none is available.
	 */
	acquire(tried: readonly TargetId[], nowMs: number): TargetState | undefined {
		const excluded = this.#excludeTried(tried);
		const chosen = this.#choose(nowMs);
		for (const state of excluded) {
			this.#available.add(state);
		}

		if (chosen !== undefined) {
			chosen.beginAttempt(nowMs);
			this.#refresh(chosen, nowMs);
		}

		return chosen;
	}

	/**
	 * Records the end of an attempt and updates the target's availability.
	 *
	 * @param state - The target.
	 * @param outcome - The outcome of the attempt.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	release(state: TargetState, outcome: Outcome, nowMs: number): void {
		state.endAttempt(outcome, nowMs);
		this.#healthMonitor.applyOutcome(state, outcome, nowMs);
		this.#refresh(state, nowMs);
	}

	/**
	 * Updates the availability of all targets whose scheduled refresh is due.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	refreshDue(nowMs: number): void {
		for (;;) {
			const first = this.#scheduledRefreshes.peek();
			if (first === undefined || first.atMs > nowMs) {
				return;
			}

			this.#scheduledRefreshes.pop();
			this.#refresh(first.state, nowMs);
		}
	}

	/** Gets the monotonic time of the next scheduled refresh, if there is one. */
	getNextRefreshMs(): number | undefined {
		return this.#scheduledRefreshes.peek()?.atMs;
	}

	/**
	 * Selects an available target. If the selected one is stalled, marks it cold,
	 * which may make it unavailable, and selects again.
	 */
	#choose(nowMs: number): TargetState | undefined {
		const {chooseTarget, random} = this.#options;
		const {averages} = this;
		for (;;) {
			const candidates = this.#available.items;
			if (candidates.length === 0) {
				return undefined;
			}

			const chosen = chooseTarget({candidates, averages, random, nowMs});
			if (!this.#healthMonitor.markColdIfStalled(chosen, nowMs)) {
				return chosen;
			}

			this.#refresh(chosen, nowMs);
		}
	}

	/** Excludes the tried targets from the selection, unless all were tried. */
	#excludeTried(tried: readonly TargetId[]): TargetState[] {
		if (tried.length === 0 || tried.length >= this.#inServiceCount) {
			return [];
		}

		return tried
			.map((id) => this.#states.get(id))
			.filter((state) => state !== undefined)
			.filter((state) => this.#available.remove(state));
	}

	#removeTargets(states: Iterable<TargetState>): void {
		for (const state of states) {
			state.isInService = false;
			this.#available.remove(state);
			this.#healthMonitor.removeTarget(state);
		}
	}

	#refreshAll(nowMs: number): void {
		for (const state of this.#states.values()) {
			this.#refresh(state, nowMs);
		}
	}

	/**
	 * Updates the availability of a target, and starts the probation of an ejected
	 * one whose ejection is over.
	 */
	#refresh(state: TargetState, nowMs: number): void {
		if (state.isInService && state.pausedUntilMs > nowMs) {
			this.#available.remove(state);
			this.#scheduleRefresh(state, state.pausedUntilMs);
			return;
		}

		if (state.health.state === 'ejected') {
			state.health.beginTrial();
		}

		const limit = this.#getLimit(state, nowMs);
		if (state.isInService && state.outstanding < limit) {
			this.#available.add(state);
		} else {
			this.#available.remove(state);
		}
	}

	#getLimit(state: TargetState, nowMs: number): number {
		const limit =
			state.health.state === 'trial' ? 1 : state.concurrencyLimit.maxRequests;
		if (state.coldStart === undefined) {
			return limit;
		}

		const hostLimit = state.coldStart.getHostLimit(this.#fleet, nowMs);
		if (hostLimit < limit && state.isInService) {
			this.#scheduleRefresh(state, state.coldStart.getNextIncrementMs(nowMs));
		}

		return Math.min(limit, hostLimit);
	}

	#scheduleRefresh(state: TargetState, atMs: number): void {
		if (state.nextRefreshMs !== atMs) {
			state.nextRefreshMs = atMs;
			this.#scheduledRefreshes.push({state, atMs});
		}
	}
}

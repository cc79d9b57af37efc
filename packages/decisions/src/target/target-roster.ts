/** The targets of a service: which of them may take a call now. */

import type {RandomSource, TargetId} from '@bilberryscale/core';
import type {TargetChoice} from '../choice/target-choice.js';
import {loneFleet, type FleetView} from '../fleet/fleet-view.js';
import {BinaryHeap} from '../utils/binary-heap.js';
import {IndexedSet} from '../utils/indexed-set.js';
import type {Outcome} from './outcome.js';
import type {RosterEntry} from './roster-entries.js';
import {ServiceAverages} from './service-averages.js';
import {TargetJudge, type TargetAudit} from './target-judge.js';
import {TargetState} from './target-state.js';

/** What a roster works with. */
export type TargetRosterOptions = {
	readonly chooseTarget: TargetChoice;
	readonly random: RandomSource;
	readonly audit: TargetAudit;
};

type Wake = {
	readonly state: TargetState;
	readonly atMs: number;
};

/** How long targets that come into service are spread over, in milliseconds. */
const returnSpreadMs = 3000;

/** Knows the targets of one service; every choice takes constant time. */
export class TargetRoster {
	readonly averages = new ServiceAverages();
	readonly #options: TargetRosterOptions;
	readonly #judge: TargetJudge;
	readonly #available = new IndexedSet<TargetState>();
	readonly #wakes = new BinaryHeap<Wake>(({atMs}) => atMs);
	#states = new Map<TargetId, TargetState>();
	#fleet = loneFleet;
	#inServiceCount = 0;

	/**
	 * @param options - The policies.
	 */
	constructor(options: TargetRosterOptions) {
		this.#options = options;
		this.#judge = new TargetJudge({
			averages: this.averages,
			random: options.random,
			audit: options.audit,
		});
	}

	/** Gets how many targets the bundle lets take work. */
	get inServiceCount(): number {
		return this.#inServiceCount;
	}

	/**
	 * Takes over the targets of a bundle; the state of kept targets stays.
	 *
	 * @remarks Targets that come into service beside others that carry on are
	 * taken up one after the other at random times, so that no step meets them.
	 * @param entries - The targets.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setTargets(entries: readonly RosterEntry[], nowMs: number): void {
		const former = this.#states;
		const hasKept = entries.some(
			({target, isInService}) =>
				isInService && former.get(target.id)?.isInService,
		);
		this.#states = new Map();
		for (const entry of entries) {
			const state =
				former.get(entry.target.id) ?? new TargetState(entry.target);
			const isNew = entry.isInService && !state.isInService;
			if (isNew && hasKept) {
				state.pausedUntilMs = nowMs + this.#options.random() * returnSpreadMs;
			}

			state.target = entry.target;
			state.isInService = entry.isInService;
			state.roundTripMs = entry.roundTripMs;
			state.limit.setSlots(entry.target.slots);
			former.delete(entry.target.id);
			this.#states.set(entry.target.id, state);
		}

		this.#retire(former.values());
		this.#inServiceCount = entries.filter((entry) => entry.isInService).length;
		this.#judge.setTargetCount(this.#inServiceCount);
		this.#refreshAll(nowMs);
	}

	/**
	 * Takes over how many hosts there are.
	 *
	 * @param fleet - The fleet.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	setFleet(fleet: FleetView, nowMs: number): void {
		this.#fleet = fleet;
		this.#refreshAll(nowMs);
	}

	/**
	 * Takes a target for a send.
	 *
	 * @param tried - The targets that the call was sent to before.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The target; undefined if none may take the call now.
	 */
	take(tried: readonly TargetId[], nowMs: number): TargetState | undefined {
		const avoided = this.#avoid(tried);
		const chosen = this.#choose(nowMs);
		for (const state of avoided) {
			this.#available.add(state);
		}

		if (chosen !== undefined) {
			chosen.begin(nowMs);
			this.#refresh(chosen, nowMs);
		}

		return chosen;
	}

	/**
	 * Takes in the end of a send.
	 *
	 * @param state - The target.
	 * @param outcome - How the send ended.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	end(state: TargetState, outcome: Outcome, nowMs: number): void {
		state.end(outcome, nowMs);
		this.#judge.judge(state, outcome, nowMs);
		this.#refresh(state, nowMs);
	}

	/**
	 * Looks again at the targets whose time has come.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	wake(nowMs: number): void {
		for (;;) {
			const first = this.#wakes.peek();
			if (first === undefined || first.atMs > nowMs) {
				return;
			}

			this.#wakes.pop();
			this.#refresh(first.state, nowMs);
		}
	}

	/** Gets when `wake` has something to do, in milliseconds, if ever. */
	getNextWakeMs(): number | undefined {
		return this.#wakes.peek()?.atMs;
	}

	/** Chooses among the available targets; silent ones may leave them. */
	#choose(nowMs: number): TargetState | undefined {
		const {chooseTarget, random} = this.#options;
		const {averages} = this;
		for (;;) {
			const candidates = this.#available.items;
			if (candidates.length === 0) {
				return undefined;
			}

			const chosen = chooseTarget({candidates, averages, random, nowMs});
			if (!this.#judge.suspectSilent(chosen, nowMs)) {
				return chosen;
			}

			this.#refresh(chosen, nowMs);
		}
	}

	/** Takes the tried targets out of the choice, unless all were tried. */
	#avoid(tried: readonly TargetId[]): TargetState[] {
		if (tried.length === 0 || tried.length >= this.#inServiceCount) {
			return [];
		}

		return tried
			.map((id) => this.#states.get(id))
			.filter((state) => state !== undefined)
			.filter((state) => this.#available.remove(state));
	}

	#retire(states: Iterable<TargetState>): void {
		for (const state of states) {
			state.isInService = false;
			this.#available.remove(state);
			this.#judge.removeTarget(state);
		}
	}

	#refreshAll(nowMs: number): void {
		for (const state of this.#states.values()) {
			this.#refresh(state, nowMs);
		}
	}

	#refresh(state: TargetState, nowMs: number): void {
		if (state.isInService && state.pausedUntilMs > nowMs) {
			this.#available.remove(state);
			this.#wakeAt(state, state.pausedUntilMs);
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
		const limit = state.health.state === 'trial' ? 1 : state.limit.requests;
		if (state.coldStart === undefined) {
			return limit;
		}

		const share = state.coldStart.getShare(this.#fleet, nowMs);
		if (share < limit && state.isInService) {
			this.#wakeAt(state, state.coldStart.getNextStepMs(nowMs));
		}

		return Math.min(limit, share);
	}

	#wakeAt(state: TargetState, atMs: number): void {
		if (state.nextWakeMs !== atMs) {
			state.nextWakeMs = atMs;
			this.#wakes.push({state, atMs});
		}
	}
}

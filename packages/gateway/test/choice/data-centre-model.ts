/** A model of three data centres: real pickers and probers of 60 hosts, targets that run requests for a time, no network. */

import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type DataCentreId,
} from '@bilberryscale/core';
import type {TargetPicker} from '../../src/choice/target-picker.js';
import type {TargetRegistry} from '../../src/targets/target-registry.js';
import type {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, testProtocol} from '../fixtures.js';
import {makeModelHost, makePickRequest} from './model-host.js';

/** The requests per second of a data centre, and when its targets are drained or do not respond. */
export type Conditions = {
	readonly getRate: (dataCentre: number, nowMs: number) => number;
	readonly isDrained?: (dataCentre: number, nowMs: number) => boolean;
	readonly isLost?: (dataCentre: number, nowMs: number) => boolean;
};

export const emptyCounts = {
	sent: 0,
	ended: 0,
	onTime: 0,
	probes: 0,
	farProbes: 0,
	connections: 0,
	farConnections: 0,
	farSends: 0,
	latencyMs: 0,
};
export type Counts = typeof emptyCounts;

const dataCentres = ['a', 'b', 'c'].map((id) => makeId<DataCentreId>(id));
const hostsPerDataCentre = 20;
const hostCount = 60;
const slots = 3;
const serviceTimeMs = 200;
const targetLatencyMs = 600;
const targets = dataCentres.flatMap((dataCentre) =>
	Array.from({length: 12}, (_, index) =>
		makeRegisteredTarget(`${dataCentre}-${index}`, {dataCentre, slots}),
	),
);

export class DataCentreModel {
	readonly #clock = new ManualClock();
	readonly #random = {
		arrivals: makeSeededRandom(1),
		service: makeSeededRandom(2),
		other: makeSeededRandom(3),
	};

	/** By target: when the requests there end, in milliseconds. */
	readonly #ends = new Map<string, number[]>();
	readonly #registries: TargetRegistry[] = [];
	readonly #pickers: TargetPicker[] = [];
	readonly #conditions: Conditions;
	#counts: Counts[] = [];

	constructor(conditions: Conditions) {
		this.#conditions = conditions;
		for (let index = 0; index < hostCount; index++) {
			this.#addHost(index);
		}
	}

	/** Runs for a time and returns the counts by data centre of the host. */
	async run(durationMs: number): Promise<Counts[]> {
		const counts = dataCentres.map(() => ({...emptyCounts}));
		this.#counts = counts;
		for (let step = 0; step < durationMs; step++) {
			const nowMs = this.#clock.monotonicMs();
			if (nowMs % 100 === 0) {
				const drainedDataCentres = new Set(
					dataCentres.filter((_, index) =>
						this.#conditions.isDrained?.(index, nowMs),
					),
				);
				for (const registry of this.#registries) {
					registry.setSnapshot({
						plan: undefined,
						targets: new Map(targets.map((target) => [target.id, target])),
						drainedDataCentres,
					});
				}
			}

			for (const index of dataCentres.keys()) {
				if (
					this.#random.arrivals() <
					this.#conditions.getRate(index, nowMs) / 1000
				) {
					void this.#send(
						Math.floor(this.#random.arrivals() * hostsPerDataCentre) * 3 +
							index,
					);
				}
			}

			this.#clock.advance(1);
			await new Promise(setImmediate);
		}

		return counts;
	}

	#addHost(index: number): void {
		const {registry, picker} = makeModelHost({
			clock: this.#clock,
			name: `host-${index}`,
			dataCentre: dataCentres[index % 3]!,
			hostCount,
			random: this.#random.other,
			sendProbes: async ({states}) => {
				const probes = states.map(async (state) => this.#probe(index, state));
				await Promise.race([Promise.all(probes), this.#sleep(130)]);
			},
		});
		this.#registries.push(registry);
		this.#pickers.push(picker);
	}

	async #probe(index: number, state: TargetState): Promise<void> {
		const connection = state.pool.acquire(8000);
		if (connection === undefined) {
			return;
		}

		const isNew = connection.answeredAtMs === undefined;
		const roundTripMs =
			this.#count(index, state, 'probes', isNew) * (isNew ? 2 : 1);
		if (this.#isLost(state)) {
			await this.#sleep(isNew ? 600 : 120);
			state.addUnanswered();
			state.avoidUntilMs = this.#clock.monotonicMs() + 600;
			state.pool.closeIdle();
		} else {
			await this.#sleep(roundTripMs);
			const nowMs = this.#clock.monotonicMs();
			const load = this.#getEnds(state, nowMs).length;
			const running = Math.min(load, slots);
			state.addHealth({
				...testProtocol.readHealth(200, {}, state.registration, nowMs),
				running,
				waiting: load - running,
			});
		}

		state.pool.release(connection, !this.#isLost(state));
	}

	async #send(index: number): Promise<void> {
		const receivedAtMs = this.#clock.monotonicMs();
		const counts = this.#counts[index % 3]!;
		counts.sent++;
		const picker = this.#pickers[index]!;
		const picked = await picker.pick(
			makePickRequest({receivedAtMs, serviceTimeMs, targetLatencyMs}),
		);
		if (picked.isErr() || this.#isLost(picked.value.state)) {
			counts.ended++;
			return;
		}

		const {state, connection} = picked.value;
		const roundTripMs = this.#count(
			index,
			state,
			'sends',
			connection.answeredAtMs === undefined,
		);
		await this.#sleep(roundTripMs / 2);
		const nowMs = this.#clock.monotonicMs();
		const ends = this.#getEnds(state, nowMs);
		const startMs =
			ends.length < slots ? nowMs : ends.toSorted((a, b) => b - a)[slots - 1]!;
		const tailFactor = this.#random.service() < 0.03 ? 7 : 1;
		const slotFactor = ends.length + 1 < slots ? 1 : 1.3;
		const endMs =
			startMs +
			serviceTimeMs *
				0.85 *
				(0.7 + 0.6 * this.#random.service()) *
				tailFactor *
				slotFactor;
		this.#ends.set(state.registration.id, [...ends, endMs]);
		await this.#sleep(endMs - nowMs + roundTripMs / 2);
		state.addEnd();
		state.pool.release(connection, true);
		const {service, id} = state.registration;
		picker.wakeFirstWaiting(service, id);
		const latencyMs = this.#clock.monotonicMs() - receivedAtMs;
		counts.ended++;
		counts.latencyMs += latencyMs;
		counts.onTime += latencyMs <= targetLatencyMs ? 1 : 0;
	}

	/** Counts a message to a target and returns the round-trip time, in milliseconds. */
	#count(
		index: number,
		{registration}: TargetState,
		kind: 'probes' | 'sends',
		isNew: boolean,
	): number {
		const counts = this.#counts[index % 3]!;
		const isFar = registration.dataCentre !== dataCentres[index % 3];
		counts.probes += kind === 'probes' ? 1 : 0;
		counts.farProbes += kind === 'probes' && isFar ? 1 : 0;
		counts.farSends += kind === 'sends' && isFar ? 1 : 0;
		counts.connections += isNew ? 1 : 0;
		counts.farConnections += isNew && isFar ? 1 : 0;
		return isFar ? 8 : 1;
	}

	#getEnds({registration}: TargetState, nowMs: number): number[] {
		return (this.#ends.get(registration.id) ?? []).filter(
			(endMs) => endMs > nowMs,
		);
	}

	#isLost({registration}: TargetState): boolean {
		return (
			this.#conditions.isLost?.(
				dataCentres.indexOf(registration.dataCentre),
				this.#clock.monotonicMs(),
			) ?? false
		);
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#clock.schedule(durationMs, resolve);
		});
	}
}

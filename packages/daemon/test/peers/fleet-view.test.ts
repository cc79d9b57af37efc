/** Hosts that exchange heartbeats share out the keys among them. */

import {
	ManualClock,
	makeId,
	type HostId,
	type IncarnationId,
} from '@bilberryscale/core';
import {usualPolicy} from '@bilberryscale/once';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FleetView} from '../../src/peers/fleet-view.js';

const names = ['a', 'b', 'c', 'd', 'e'];
const roundMs = 2000;

class TestFleet {
	readonly clock = new ManualClock();
	readonly views = new Map<string, FleetView>();
	/** Hosts that no message reaches or leaves. */
	readonly cut = new Set<string>();

	constructor(isClockWrong = false) {
		for (const name of names) {
			this.start(name, 1, isClockWrong && name === 'a');
		}
	}

	start(name: string, life: number, isClockWrong = false): void {
		const {clock} = this;
		const wrongMs = isClockWrong ? 3_600_000 : 0;
		const view = new FleetView({
			self: {
				host: makeId<HostId>(name),
				incarnation: makeId<IncarnationId>(`${name}/${life}`),
			},
			policy: usualPolicy,
			clock: {
				monotonicMs: () => clock.monotonicMs(),
				now: () => new Date(clock.now().getTime() + wrongMs),
				schedule: (delayMs, action) => clock.schedule(delayMs, action),
			},
			audit: () => undefined,
			silenceMs: 5000,
			isAlone: false,
			getBundleVersion: () => 1,
		});
		const place = {address: '127.0.0.1', port: 1, isLeaving: false};
		view.setPublished(
			names.map((item) => ({host: makeId<HostId>(item), ...place})),
		);
		this.views.set(name, view);
	}

	run(rounds: number): void {
		for (let round = 0; round < rounds; round++) {
			for (const [name, view] of this.views) {
				this.#beat(name, view);
			}

			this.clock.advance(roundMs);
		}
	}

	getHeldCounts(): number[] {
		return [...this.views.values()].map(({held}) => held.size);
	}

	#beat(name: string, view: FleetView): void {
		const round = view.beginRound();
		const from = {
			host: makeId<HostId>(name),
			incarnation: makeId<IncarnationId>(`${name}/1`),
		};
		for (const [peerName, peer] of this.views) {
			const isCut = this.cut.has(name) || this.cut.has(peerName);
			if (peerName !== name && !isCut) {
				const {sequence, state, wanted} = round;
				const message = {from, sequence, state, wanted: wanted.toHex()};
				view.takeReply(round, peer.takeHeartbeat(message));
			}
		}
	}
}

function sum(counts: readonly number[]): number {
	return counts.reduce((total, count) => total + count, 0);
}

describe('FleetView', () => {
	const settledRounds = 8;

	it('holds nothing before promises of former lives have ended', () => {
		const fleet = new TestFleet();
		fleet.run(4);
		assert.is(sum(fleet.getHeldCounts()), 0);
	});

	it('shares out all buckets once the fleet has settled', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		assert.is(sum(fleet.getHeldCounts()), 256);
		assert.ok(fleet.getHeldCounts().every((count) => count > 0));
	});

	it('takes over the buckets of a host that leaves', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		fleet.views.get('b')!.leave();
		fleet.run(3);
		assert.is(fleet.views.get('b')!.held.size, 0);
		assert.is(sum(fleet.getHeldCounts()), 256);
	});

	it('takes over the buckets of a host that is cut off', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		fleet.cut.add('c');
		fleet.run(settledRounds);
		assert.is(fleet.views.get('c')!.held.size, 0);
		assert.is(sum(fleet.getHeldCounts()), 256);
	});

	it('holds nothing in a minority, and all again after the cut', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		for (const name of ['a', 'b', 'c']) {
			fleet.cut.add(name);
		}

		fleet.run(settledRounds);
		assert.is(sum(fleet.getHeldCounts()), 0);
		fleet.cut.clear();
		fleet.run(settledRounds);
		assert.is(sum(fleet.getHeldCounts()), 256);
	});

	it('does not adopt the wrong clock of one host', () => {
		const fleet = new TestFleet(true);
		fleet.run(settledRounds);
		const nowMs = fleet.clock.now().getTime();
		for (const view of fleet.views.values()) {
			const {state} = view.beginRound();
			assert.ok(Math.abs(state.clockMs - nowMs) < 1, `${state.clockMs}`);
		}
	});
});

/** Hosts that exchange heartbeats divide the key buckets among themselves. */

import {
	ManualClock,
	makeId,
	type HostId,
	type IncarnationId,
} from '@bilberryscale/core';
import {defaultLeasePolicy} from '@bilberryscale/once';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {FleetView} from '../../src/peers/fleet-view.js';

const hostNames = ['a', 'b', 'c', 'd', 'e'];
const roundMs = 2000;

class TestFleet {
	readonly clock = new ManualClock();
	readonly views = new Map<string, FleetView>();
	/** Hosts without network: no message reaches or leaves them. */
	readonly partitioned = new Set<string>();

	constructor(isClockWrong = false) {
		for (const name of hostNames) {
			this.start(name, 1, isClockWrong && name === 'a');
		}
	}

	start(name: string, incarnationNumber: number, isClockWrong = false): void {
		const {clock} = this;
		const clockErrorMs = isClockWrong ? 3_600_000 : 0;
		const view = new FleetView({
			self: {
				host: makeId<HostId>(name),
				incarnation: makeId<IncarnationId>(`${name}/${incarnationNumber}`),
			},
			policy: defaultLeasePolicy,
			clock: {
				monotonicMs: () => clock.monotonicMs(),
				now: () => new Date(clock.now().getTime() + clockErrorMs),
				schedule: (delayMs, action) => clock.schedule(delayMs, action),
			},
			audit: () => undefined,
			peerTimeoutMs: 5000,
			isStandalone: false,
			getBundleVersion: () => 1,
		});
		const endpoint = {address: '127.0.0.1', port: 1, isLeaving: false};
		view.setPublishedHosts(
			hostNames.map((item) => ({host: makeId<HostId>(item), ...endpoint})),
		);
		this.views.set(name, view);
	}

	run(rounds: number): void {
		for (let round = 0; round < rounds; round++) {
			for (const [name, view] of this.views) {
				this.#runRound(name, view);
			}

			this.clock.advance(roundMs);
		}
	}

	getHeldCounts(): number[] {
		return [...this.views.values()].map(({heldBuckets}) => heldBuckets.size);
	}

	#runRound(name: string, view: FleetView): void {
		const round = view.beginRound();
		const from = {
			host: makeId<HostId>(name),
			incarnation: makeId<IncarnationId>(`${name}/1`),
		};
		for (const [peerName, peer] of this.views) {
			const isPartitioned =
				this.partitioned.has(name) || this.partitioned.has(peerName);
			if (peerName !== name && !isPartitioned) {
				const {sequence, state, wanted} = round;
				const message = {from, sequence, state, wanted: wanted.toHex()};
				view.handleReply(round, peer.handleHeartbeat(message));
			}
		}
	}
}

function sum(counts: readonly number[]): number {
	return counts.reduce((total, count) => total + count, 0);
}

describe('FleetView', () => {
	const settledRounds = 8;

	it('holds no bucket before grants of earlier incarnations have expired', () => {
		const fleet = new TestFleet();
		fleet.run(4);
		assert.is(sum(fleet.getHeldCounts()), 0);
	});

	it('divides all buckets among the hosts once the fleet has settled', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		assert.is(sum(fleet.getHeldCounts()), 256);
		assert.ok(fleet.getHeldCounts().every((count) => count > 0));
	});

	it('reassigns the buckets of a host that leaves', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		fleet.views.get('b')!.leave();
		fleet.run(3);
		assert.is(fleet.views.get('b')!.heldBuckets.size, 0);
		assert.is(sum(fleet.getHeldCounts()), 256);
	});

	it('reassigns the buckets of a host that is partitioned', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		fleet.partitioned.add('c');
		fleet.run(settledRounds);
		assert.is(fleet.views.get('c')!.heldBuckets.size, 0);
		assert.is(sum(fleet.getHeldCounts()), 256);
	});

	it('holds no bucket without a quorum, and all again after the partition', () => {
		const fleet = new TestFleet();
		fleet.run(settledRounds);
		for (const name of ['a', 'b', 'c']) {
			fleet.partitioned.add(name);
		}

		fleet.run(settledRounds);
		assert.is(sum(fleet.getHeldCounts()), 0);
		fleet.partitioned.clear();
		fleet.run(settledRounds);
		assert.is(sum(fleet.getHeldCounts()), 256);
	});

	it('ignores the wrong clock of a single host', () => {
		const fleet = new TestFleet(true);
		fleet.run(settledRounds);
		const nowMs = fleet.clock.now().getTime();
		for (const view of fleet.views.values()) {
			const {state} = view.beginRound();
			assert.ok(Math.abs(state.clockMs - nowMs) < 1, `${state.clockMs}`);
		}
	});
});

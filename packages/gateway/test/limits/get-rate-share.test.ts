/**
 * Many hosts send to a target with a limit, none of them knows what the others
 * send, and some don't know of each other yet. The worst case is that each host
 * with a part of the limit has saved up as much as it may.
 */

import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type TargetId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getRateShare, type HostPlace} from '../../src/limits/get-rate-share.js';
import {LimitShares} from '../../src/limits/limit-shares.js';
import {RetryPartTracker} from '../../src/limits/retry-part.js';
import {east, makeRegisteredTarget, west} from '../fixtures.js';

const windowSeconds = 4;
const targetIds = Array.from({length: 20}, (_, index) => `i-${index}`);

function makeHosts(count: number): HostPlace[] {
	return Array.from({length: count}, (_, index) => ({
		address: `10.0.0.${index}`,
		dataCentre: index % 3 === 0 ? east : west,
	}));
}

function getShares(
	hosts: readonly HostPlace[],
	id: string,
	perSecond: number,
	knows: (host: HostPlace, other: HostPlace) => boolean = () => true,
): number[] {
	const target = {id: makeId<TargetId>(id), dataCentre: east};
	return hosts.map((self) =>
		getRateShare({
			perSecond,
			target,
			self,
			peers: hosts.filter((other) => other !== self && knows(self, other)),
		}),
	);
}

/** Gets the most requests that hosts may send within the window. */
function getWorstCase(shares: readonly number[]): number {
	return shares
		.filter((share) => share > 0)
		.reduce(
			(sum, share) => sum + Math.max(1, share / 2) + windowSeconds * share,
			0,
		);
}

describe('getRateShare', () => {
	function doTest(hostCount: number, perSecond: number): void {
		it(`keeps a limit of ${perSecond} a second with ${hostCount} hosts of which a tenth don't know each other`, () => {
			const random = makeSeededRandom(hostCount);
			const hosts = makeHosts(hostCount);
			const allowed = 1.5 * windowSeconds * perSecond + 5;
			const worstCases = targetIds
				.slice(0, 3)
				.map((id) =>
					getWorstCase(getShares(hosts, id, perSecond, () => random() > 0.1)),
				);
			const worst = Math.max(...worstCases);
			assert.ok(worst <= allowed, `${worst}, ${allowed} allowed`);
		});
	}

	for (const hostCount of [1, 3, 16, 312]) {
		for (const perSecond of [0, 0.3, 1, 1.4, 4.9, 40]) {
			doTest(hostCount, perSecond);
		}
	}

	it('gives out most of the limit and no more if all hosts know each other', () => {
		for (const perSecond of [0.3, 1, 1.4, 4.9, 40]) {
			const shares = getShares(makeHosts(16), 'i-1', perSecond);
			const sum = shares.reduce((total, share) => total + share, 0);
			assert.ok(sum <= perSecond && sum >= perSecond * 0.7, String(sum));
			assert.ok(
				getWorstCase(shares) <= 1.5 * windowSeconds * perSecond + 5,
				String(getWorstCase(shares)),
			);
		}
	});

	it('prefers hosts in the data centre of the target', () => {
		const hosts = makeHosts(16);
		const shares = getShares(hosts, 'i-1', 3);
		const holders = hosts.filter((_, index) => shares[index]! > 0);
		assert.is(holders.length, 4);
		assert.ok(holders.every(({dataCentre}) => dataCentre === east));
	});
});

describe('LimitShares', () => {
	function makePart(clock: ManualClock): () => boolean {
		const part = new RetryPartTracker({
			clock,
			isFirstStart: false,
			directory: {getHosts: () => [], hasMajority: true},
			announcement: {isComplete: true},
			onChange: () => undefined,
		});
		return () => part.getPart(0).hasSlack;
	}

	it('has no part of a limit until the host knows the others', () => {
		const clock = new ManualClock();
		const shares = new LimitShares({
			mayHold: makePart(clock),
			random: () => 0.5,
			self: {address: '10.0.0.1', dataCentre: east},
			getPeers: () => [],
		});
		const target = makeRegisteredTarget('i-1');
		assert.is(shares.getShare(target, 2), 0);
		clock.advance(5000);
		assert.ok(shares.getShare(target, 2) > 0);
	});

	it('follows hosts that come', () => {
		const clock = new ManualClock();
		let peers: readonly HostPlace[] = [];
		const shares = new LimitShares({
			mayHold: makePart(clock),
			random: () => 0.5,
			self: {address: '10.0.0.1', dataCentre: east},
			getPeers: () => peers,
		});
		clock.advance(5000);
		const targets = targetIds.map((id) => makeRegisteredTarget(id));
		const countHeld = () =>
			targets.filter((target) => shares.getShare(target, 0.5) > 0).length;
		assert.is(countHeld(), targets.length);
		peers = makeHosts(16);
		assert.ok(countHeld() < targets.length / 2);
	});
});

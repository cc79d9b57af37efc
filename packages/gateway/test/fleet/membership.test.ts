import {ManualClock, makeSeededRandom} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership, type MemberRecord} from '../../src/fleet/membership.js';
import {east, west} from '../fixtures.js';

function makeMembership(clock: ManualClock, incarnation = 10): Membership {
	return new Membership({
		clock,
		random: makeSeededRandom(1),
		address: '10.0.0.5',
		dataCentre: east,
		incarnation,
	});
}

function makeRecord(
	address: string,
	changes: Partial<MemberRecord> = {},
): MemberRecord {
	return {address, dataCentre: east, incarnation: 1, heartbeat: 1, ...changes};
}

function joinAddresses(records: readonly MemberRecord[]): string {
	return records.map(({address}) => address).join(' ');
}

describe('Membership', () => {
	describe('getSortedHosts', () => {
		it('sorts the hosts of a data centre, including this one, by address', () => {
			const membership = makeMembership(new ManualClock());
			membership.add([makeRecord('10.0.0.9'), makeRecord('10.0.0.1')]);
			membership.add([makeRecord('10.0.0.2', {dataCentre: west})]);
			assert.is(
				joinAddresses(membership.getSortedHosts(east)),
				'10.0.0.1 10.0.0.5 10.0.0.9',
			);
		});
	});

	// Each made-up host took memory, and each exchange sorts all of them.
	it('holds a bounded number of hosts, and still hears of those', () => {
		const clock = new ManualClock();
		const membership = makeMembership(clock);
		const records = Array.from({length: 5000}, (_, index) =>
			makeRecord(`10.1.${Math.floor(index / 250)}.${index % 250}`),
		);
		membership.add(records);
		assert.is(membership.memberCount, 2049);
		assert.not(membership.isKnown(records.at(-1)!.address));
		clock.advance(59_000);
		membership.add([{...records[0]!, heartbeat: 2}]);
		clock.advance(2000);
		membership.advanceHeartbeat();
		assert.is(membership.memberCount, 2);
	});

	describe('add', () => {
		function doTest(
			name: string,
			input: {readonly record: MemberRecord; readonly afterMs: number},
			expected: string,
		): void {
			it(name, () => {
				const clock = new ManualClock();
				const membership = makeMembership(clock);
				membership.add([makeRecord('a', {incarnation: 3, heartbeat: 7})]);
				clock.advance(input.afterMs);
				membership.add([input.record]);
				assert.is(joinAddresses(membership.getLivePeers()), expected);
			});
		}

		const newerHeartbeat = makeRecord('a', {incarnation: 3, heartbeat: 8});
		const sameHeartbeat = makeRecord('a', {incarnation: 3, heartbeat: 7});
		const newIncarnation = makeRecord('a', {incarnation: 4, heartbeat: 0});
		doTest(
			'keeps a host whose heartbeat rises',
			{record: newerHeartbeat, afterMs: 16_000},
			'a',
		);
		doTest(
			'drops a host whose heartbeat does not rise',
			{record: sameHeartbeat, afterMs: 16_000},
			'',
		);
		doTest(
			'accepts a new incarnation',
			{record: newIncarnation, afterMs: 16_000},
			'a',
		);
		doTest(
			'keeps a silent host until its timeout',
			{record: sameHeartbeat, afterMs: 14_000},
			'a',
		);

		it('keeps a host that responds, though no heartbeat of it arrives', () => {
			const clock = new ManualClock();
			const membership = makeMembership(clock);
			membership.add([makeRecord('a')]);
			clock.advance(14_000);
			membership.recordResponse('a');
			clock.advance(14_000);
			assert.is(joinAddresses(membership.getLivePeers()), 'a');
		});

		it('supersedes its previous incarnation after the wall clock was stepped back', () => {
			const membership = makeMembership(new ManualClock(), 10);
			membership.add([makeRecord('10.0.0.5', {incarnation: 50, heartbeat: 9})]);
			assert.ok(membership.sampleRecords(1)[0]!.incarnation > 50);
		});
	});

	describe('memberCount', () => {
		it('counts hosts seen within the last minute, even if considered down', () => {
			const clock = new ManualClock();
			const membership = makeMembership(clock);
			membership.add([makeRecord('a'), makeRecord('b')]);
			clock.advance(30_000);
			membership.advanceHeartbeat();
			assert.is(membership.memberCount, 3);
			clock.advance(31_000);
			membership.advanceHeartbeat();
			assert.is(membership.memberCount, 1);
		});
	});
});

import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {HostAnnouncement} from '../../src/fleet/host-announcement.js';
import type {HostListEntry} from '../../src/fleet/host-directory.js';

function makeAnnouncement(
	list: readonly HostListEntry[],
	{hasOtherSeeds = true, isAlone = false} = {},
) {
	const clock = new ManualClock();
	const sent: string[] = [];
	const announcement = new HostAnnouncement({
		clock,
		directory: {getList: () => list},
		isAlone,
		hasOtherSeeds: () => hasOtherSeeds,
		send(address) {
			sent.push(address);
		},
	});
	announcement.start();
	return {clock, sent, announcement};
}

describe('HostAnnouncement', () => {
	it('sends to each host until it has replied', () => {
		const {clock, sent, announcement} = makeAnnouncement([
			['a', 0],
			['b', 0],
		]);
		clock.advance(300);
		assert.equal(sent, ['a', 'b']);
		announcement.recordReply('a');
		clock.advance(6000);
		assert.is(sent.filter((address) => address === 'a').length, 1);
		assert.ok(sent.filter((address) => address === 'b').length >= 6);
		assert.not.ok(announcement.isComplete);
		announcement.recordReply('b');
		clock.advance(300);
		assert.ok(announcement.isComplete);
		assert.is(clock.pendingCount, 0);
	});

	it('does not wait for hosts that are probably down', () => {
		const {clock, sent, announcement} = makeAnnouncement([['a', 76]]);
		clock.advance(5300);
		assert.equal(sent, []);
		assert.ok(announcement.isComplete);
	});

	it('is not complete while a host with seeds knows no other', () => {
		const {clock, announcement} = makeAnnouncement([]);
		clock.advance(60_000);
		assert.not.ok(announcement.isComplete);
	});

	it('is complete at once for a host without seeds', () => {
		const {clock, announcement} = makeAnnouncement([], {isAlone: true});
		assert.ok(announcement.isComplete);
		assert.is(clock.pendingCount, 0);
	});

	it('is complete some time after the start of the only seed', () => {
		const {clock, announcement} = makeAnnouncement([], {hasOtherSeeds: false});
		assert.not.ok(announcement.isComplete);
		clock.advance(5300);
		assert.ok(announcement.isComplete);
	});

	it('sends a bounded number of messages at once', () => {
		const list = Array.from({length: 312}, (_, index): HostListEntry => [
			String(index),
			0,
		]);
		const {clock, sent} = makeAnnouncement(list);
		clock.advance(300);
		assert.is(sent.length, 40);
	});
});

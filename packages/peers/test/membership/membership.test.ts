/** Which hosts are members. */

import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership, type PeerState} from '../../src/index.js';

const host = (name: string) => makeId<HostId>(name);
const identity = (name: string, number: number) => ({
	host: host(name),
	incarnation: makeId<IncarnationId>(`${name}/${number}`),
});
const state = (phase: PeerState['phase']): PeerState => ({
	clockMs: 0,
	phase,
	bundleVersion: 1,
	held: '',
});
const publishedHost = (name: string, isLeaving = false) => ({
	host: host(name),
	address: '127.0.0.1',
	port: 1,
	isLeaving,
});

function createMembership(): Membership {
	const membership = new Membership({
		self: identity('a', 1),
		maxSilenceMs: 100,
	});
	membership.setPublishedHosts([
		publishedHost('a'),
		publishedHost('b'),
		publishedHost('c', true),
	]);
	return membership;
}

describe('Membership', () => {
	describe('getMembers', () => {
		const doTest = (
			name: string,
			prepare: (membership: Membership) => void,
			expected: string,
		) => {
			it(name, () => {
				const membership = createMembership();
				prepare(membership);
				assert.is(membership.getMembers(100, true).join(','), expected);
			});
		};

		const receiveState =
			(name: string, phase: PeerState['phase'], atMs: number) =>
			(membership: Membership) => {
				membership.recordPeerState(identity(name, 1), state(phase), atMs);
			};

		doTest('contains only this host at first', () => undefined, 'a');
		doTest(
			'contains a peer that is serving',
			receiveState('b', 'serving', 0),
			'a,b',
		);
		doTest(
			'excludes a peer without a recent message',
			receiveState('b', 'serving', -1),
			'a',
		);
		doTest(
			'excludes a peer that is starting',
			receiveState('b', 'starting', 50),
			'a',
		);
		doTest(
			'excludes a peer that is leaving',
			receiveState('b', 'leaving', 50),
			'a',
		);
		doTest(
			'excludes a host that is listed as leaving',
			receiveState('c', 'serving', 50),
			'a',
		);
		doTest(
			'excludes a host that is not listed',
			receiveState('d', 'serving', 50),
			'a',
		);
	});

	it('ignores late messages of a former incarnation', () => {
		const membership = createMembership();
		assert.ok(
			membership.recordPeerState(identity('b', 1), state('serving'), 0),
		);
		assert.ok(
			membership.recordPeerState(identity('b', 2), state('starting'), 1),
		);
		assert.not(
			membership.recordPeerState(identity('b', 1), state('serving'), 2),
		);
		const peer = membership.getPeer(host('b'), 3);
		assert.is(peer?.identity.incarnation, identity('b', 2).incarnation);
	});
});

/** Who is a member. */

import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Membership, type PeerState} from '../../src/index.js';

const host = (name: string) => makeId<HostId>(name);
const life = (name: string, number: number) => ({
	host: host(name),
	incarnation: makeId<IncarnationId>(`${name}/${number}`),
});
const state = (phase: PeerState['phase']): PeerState => ({
	clockMs: 0,
	phase,
	bundleVersion: 1,
	held: '',
});
const place = (name: string, isLeaving = false) => ({
	host: host(name),
	address: '127.0.0.1',
	port: 1,
	isLeaving,
});

function makeMembership(): Membership {
	const membership = new Membership({self: life('a', 1), silenceMs: 100});
	membership.setPublished([place('a'), place('b'), place('c', true)]);
	return membership;
}

describe('Membership', () => {
	describe('getMembers', () => {
		const doTest = (
			name: string,
			act: (membership: Membership) => void,
			expected: string,
		) => {
			it(name, () => {
				const membership = makeMembership();
				act(membership);
				assert.is(membership.getMembers(100, true).join(','), expected);
			});
		};

		const see =
			(name: string, phase: PeerState['phase'], atMs: number) =>
			(membership: Membership) => {
				membership.addSighting(life(name, 1), state(phase), atMs);
			};

		doTest('has this host alone at first', () => undefined, 'a');
		doTest('has a peer that serves', see('b', 'serving', 0), 'a,b');
		doTest('has no peer that is silent', see('b', 'serving', -1), 'a');
		doTest('has no peer that starts', see('b', 'starting', 50), 'a');
		doTest('has no peer that leaves', see('b', 'leaving', 50), 'a');
		doTest('has no host listed as leaving', see('c', 'serving', 50), 'a');
		doTest('has no host that is not listed', see('d', 'serving', 50), 'a');
	});

	it('drops late messages of a life that has ended', () => {
		const membership = makeMembership();
		assert.ok(membership.addSighting(life('b', 1), state('serving'), 0));
		assert.ok(membership.addSighting(life('b', 2), state('starting'), 1));
		assert.not(membership.addSighting(life('b', 1), state('serving'), 2));
		const peer = membership.getPeer(host('b'), 3);
		assert.is(peer?.identity.incarnation, life('b', 2).incarnation);
	});
});

import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {HostDirectory} from '../../src/fleet/host-directory.js';
import {HostListExchange} from '../../src/fleet/host-list-exchange.js';

const self = '10.0.0.1';
const seed = '10.0.0.2';

function makeExchange() {
	const clock = new ManualClock();
	const counts = {sent: 0};
	const directory = new HostDirectory({clock, self, getPeers: () => []});
	const exchange = new HostListExchange({
		clock,
		random: () => 0,
		self,
		getSeeds: () => [seed],
		directory,
		send() {
			counts.sent++;
		},
	});
	return {clock, counts, directory, exchange};
}

describe('HostListExchange', () => {
	describe('receive', () => {
		const reply = {method: 'hosts-reply', hosts: [['10.0.0.3', 0]]} as const;

		it('sends nothing before the start', () => {
			// Guards against a reply to the previous run of a host that makes one without accounts send requests.
			const {clock, counts, directory, exchange} = makeExchange();
			exchange.receive(reply);
			assert.equal(directory.getHosts(), ['10.0.0.3']);
			clock.advance(600_000);
			assert.equal(counts, {sent: 0});
			assert.is(clock.pendingCount, 0);
		});

		it('sends nothing after the end', () => {
			// Guards against a timer that is never removed.
			const {clock, counts, exchange} = makeExchange();
			exchange.start();
			exchange.stop();
			exchange.receive(reply);
			clock.advance(600_000);
			assert.equal(counts, {sent: 0});
			assert.is(clock.pendingCount, 0);
		});
	});
});

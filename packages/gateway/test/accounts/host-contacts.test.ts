import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {HostContacts} from '../../src/accounts/host-contacts.js';
import {EventLog} from '../../src/records/event-log.js';

const minuteMs = 60_000;

function makeContacts() {
	const clock = new ManualClock();
	const contacts = new HostContacts({
		clock,
		log: new EventLog({clock, origin: {}, writeLine: () => undefined}),
		sendCheck: () => undefined,
		onSilent: () => undefined,
	});
	return {clock, contacts};
}

describe('HostContacts', () => {
	describe('silentCount', () => {
		it('does not count hosts that were not asked for a long time', () => {
			// Guards against hosts that were removed for good and look like a partition from then on, and against a map
			// that grows with each host that is replaced by one with another address.
			const {clock, contacts} = makeContacts();
			for (const address of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) {
				contacts.check(address);
			}

			clock.advance(minuteMs);
			assert.is(contacts.silentCount, 3);
			clock.advance(5 * minuteMs);
			assert.is(contacts.silentCount, 0);
		});

		it('counts a host as long as it leaves checks unanswered', () => {
			// Guards against a silent host that is asked for tokens again, each time with a delay of 80 ms.
			const {clock, contacts} = makeContacts();
			for (let minute = 0; minute < 10; minute++) {
				contacts.check('10.0.0.1');
				clock.advance(minuteMs);
			}

			assert.is(contacts.silentCount, 1);
			assert.ok(contacts.isSilent('10.0.0.1'));
		});
	});
});

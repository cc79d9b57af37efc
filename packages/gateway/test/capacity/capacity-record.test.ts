/**
 * Guards against gossip that grows with the services or the hosts, and against
 * malformed parameters of other hosts.
 */

import {Buffer} from 'node:buffer';
import {makeId, type ServiceName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decodeCapacityRecords,
	encodeCapacityRecords,
	maxEncodedBytes,
	type CapacityRecord,
} from '../../src/capacity/capacity-record.js';
import {decodeMessage, encodeMessage} from '../../src/fleet/gossip-message.js';
import {east, reading} from '../fixtures.js';

function makeRecord(name: string): CapacityRecord {
	return {
		service: makeId<ServiceName>(name),
		utilization: 0.812,
		demand: new Map([
			[0, 0.135],
			[1, 1.25],
			[2, 2.041],
		]),
	};
}

function makeMembers(capacity?: readonly CapacityRecord[]): Buffer {
	const members = Array.from({length: 12}, (_, index) => ({
		address: `10.200.100.${index + 100}`,
		dataCentre: east,
		incarnation: 1_770_000_000_000,
		heartbeat: 123_456,
	}));
	return encodeMessage({
		method: 'members',
		members,
		wantsReply: true,
		...(capacity && {capacity}),
	});
}

describe('capacity records', () => {
	describe('encodeCapacityRecords and decodeCapacityRecords', () => {
		it('round-trip a record', () => {
			const records = [makeRecord('reading')];
			assert.equal(
				decodeCapacityRecords(encodeCapacityRecords(records)),
				records,
			);
		});

		it('stay within their bound whatever the number of services', () => {
			const records = Array.from({length: 300}, (_, index) =>
				makeRecord(`service-${index}`),
			);
			const encoded = encodeCapacityRecords(records);
			const bytes = Buffer.byteLength(JSON.stringify(encoded));
			assert.ok(bytes <= maxEncodedBytes, `${bytes}`);
			assert.ok(encoded.length >= 5, `${encoded.length}`);
		});
	});

	describe('decodeCapacityRecords', () => {
		for (const text of [
			'null',
			'{}',
			'[1]',
			'[["a"]]',
			'[["a",2000,[]]]',
			'[["a",-1,[]]]',
			'[[1,500,[]]]',
			'[["a",500,{}]]',
		]) {
			it(`ignores ${text}`, () => {
				assert.equal(decodeCapacityRecords(JSON.parse(text)), []);
			});
		}

		it('ignores malformed demand', () => {
			const value = [
				['reading', 500, [[0, 100], [0.5, 1], [1, -1], ['0', 1], 7]],
			];
			assert.equal(decodeCapacityRecords(value), [
				{service: reading, utilization: 0.5, demand: new Map([[0, 0.1]])},
			]);
		});
	});

	describe('in a members message', () => {
		it('are absent without services of several priorities, as older hosts send it', () => {
			assert.equal(makeMembers([]), makeMembers());
			const message = decodeMessage(makeMembers());
			assert.not(message !== undefined && 'capacity' in message);
		});

		it('are decoded with the members', () => {
			const records = [makeRecord('reading')];
			const message = decodeMessage(makeMembers(records));
			assert.ok(message?.method === 'members');
			assert.is(message.members.length, 12);
			assert.equal(message.capacity, records);
		});

		it('leave the datagram within one packet', () => {
			const records = Array.from({length: 30}, (_, index) =>
				makeRecord(`service-${index}`),
			);
			const bytes = makeMembers(records).byteLength;
			assert.ok(bytes <= 1400, `${bytes}`);
		});

		for (const hostCount of [16, 100, 312]) {
			it(`take under 150 B/s a host for 2 services at ${hostCount} hosts`, () => {
				const records = [makeRecord('reading'), makeRecord('writing')];
				const bytes =
					makeMembers(records).byteLength - makeMembers().byteLength;
				// Each exchange, of which a host starts one every 1500 ms, has two messages.
				const perSecond = (2 * bytes) / 1.5;
				console.log(
					`capacity records at ${hostCount} hosts: ${bytes} B a message, ${Math.round(perSecond)} B/s a host, ${Math.round(perSecond * hostCount)} B/s in all`,
				);
				assert.ok(perSecond < 150, `${perSecond}`);
			});
		}
	});
});

import {Buffer} from 'node:buffer';
import {makeId, type Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decodeMessage,
	encodeMessage,
	type GossipMessage,
} from '../../src/fleet/gossip-message.js';
import type {ClientAccountName} from '../../src/plan/client-account.js';
import type {TargetIncarnation} from '../../src/plan/registered-target.js';
import {east, reading} from '../fixtures.js';

const incarnation = makeId<TargetIncarnation>('i-1@5');

describe('gossip messages', () => {
	describe('encodeMessage and decodeMessage', () => {
		function doTest(name: string, input: GossipMessage): void {
			it(name, () => {
				assert.equal(decodeMessage(encodeMessage(input)), input);
			});
		}

		doTest('round-trip members', {
			method: 'members',
			members: [
				{address: '10.1.0.1', dataCentre: east, incarnation: 2, heartbeat: 3},
			],
			wantsReply: true,
		});
		doTest('round-trip a crash notice', {
			method: 'crash',
			notice: {signature: makeId<Digest>('abc'), incarnation, ageMs: 20},
		});
		doTest('round-trip a failure notice', {method: 'failure', incarnation});
		doTest('round-trip a limit', {
			method: 'limit',
			notice: {incarnation, perSecond: 1.4, source: 'probe'},
		});
		doTest('round-trip a request for a loan', {
			method: 'retry-loan',
			requestNumber: 7,
			service: reading,
			amount: 0.375,
			reservedShare: 0.6,
		});
		doTest('round-trip a loan', {
			method: 'retry-loan-reply',
			requestNumber: 7,
			amount: 0.375,
			left: 2.5,
		});
		it('take a crash notice of an earlier version as new', () => {
			const datagram = Buffer.from(
				'{"jsonrpc":"2.0","method":"crash","params":["abc","i"]}',
			);
			assert.equal(decodeMessage(datagram), {
				method: 'crash',
				notice: {signature: 'abc', incarnation: 'i', ageMs: 0},
			});
		});

		for (const parameters of [
			'[1,"s",1001,0]',
			'[1,"s",-1,0]',
			'[1,"s",1,2]',
			'["1","s",1,0]',
			'[1,2,3,4]',
			'[]',
		]) {
			it(`read no request for a loan from ${parameters}`, () => {
				const datagram = Buffer.from(
					`{"jsonrpc":"2.0","method":"retry-loan","params":${parameters}}`,
				);
				assert.is(decodeMessage(datagram), undefined);
			});
		}

		doTest('round-trip a lifted limit', {
			method: 'limit',
			notice: {incarnation, perSecond: undefined, source: 'attempt'},
		});
	});

	describe('allotment messages', () => {
		function doTest(name: string, input: GossipMessage): void {
			it(name, () => {
				assert.equal(decodeMessage(encodeMessage(input)), input);
			});
		}

		const account = makeId<ClientAccountName>('a');
		const limit = {planVersion: 3, ratePerSecond: 5.5, burst: 7};
		const request = {requestNumber: 1, account, needed: 1, wanted: 4, limit};
		const reply = {requestNumber: 1, granted: 2, validMs: 300, retryAfterMs: 0};
		doTest('round-trip a token request', {
			method: 'token-request',
			...request,
			skipped: ['10.0.0.1'],
		});
		doTest('round-trip a grant', {
			method: 'token-reply',
			...reply,
			owner: undefined,
		});
		doTest('round-trip a redirect', {
			method: 'token-reply',
			...reply,
			owner: '10.0.0.2',
		});
		doTest('round-trip a return', {method: 'token-return', account, count: 1});
		doTest('round-trip a check', {method: 'contact-check', check: 5});
		doTest('round-trip its reply', {method: 'contact-reply', check: 5});
		doTest('round-trip a request for hosts', {method: 'hosts-request'});
		doTest('round-trip hosts', {
			method: 'hosts-reply',
			hosts: [
				['10.0.0.1', 4],
				['10.0.0.2', 0],
			],
		});
	});

	describe('decodeMessage', () => {
		function doTest(name: string, input: string): void {
			it(name, () => {
				assert.is(decodeMessage(Buffer.from(input)), undefined);
			});
		}

		doTest('rejects invalid JSON', '{');
		doTest(
			'rejects a message without the JSON-RPC version',
			'{"method":"failure","params":["a"]}',
		);
		doTest(
			'rejects an unknown method',
			'{"jsonrpc":"2.0","method":"x","params":[]}',
		);
		doTest(
			'rejects invalid parameters',
			'{"jsonrpc":"2.0","method":"crash","params":[1]}',
		);
		// Guards against numbers that would empty a bucket or never let a token expire.
		for (const [method, parameters] of [
			['token-request', '[1,"a",2000,2000,3,5,7]'],
			['token-request', '[1,"a",0.5,1,3,5,7]'],
			['token-request', '[1,"a",1,1,3,-5,7]'],
			['token-request', '[1,"a",1,1,3,5,7,8]'],
			['token-reply', '[1,1,null,0]'],
			['token-return', '["a",-1]'],
			['contact-check', '["1"]'],
		]) {
			doTest(
				`rejects ${method} ${parameters}`,
				`{"jsonrpc":"2.0","method":"${method}","params":${parameters}}`,
			);
		}

		for (const parameters of [
			'["a",-1,"probe"]',
			'["a","1","probe"]',
			'["a",1,"x"]',
			'[1,1,"probe"]',
			'["a"]',
		]) {
			doTest(
				`rejects the limit ${parameters}`,
				`{"jsonrpc":"2.0","method":"limit","params":${parameters}}`,
			);
		}
	});
});

import {Buffer} from 'node:buffer';
import {makeId, type Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decodeMessage,
	encodeMessage,
	type GossipMessage,
} from '../../src/fleet/gossip-message.js';
import type {TargetIncarnation} from '../../src/plan/registered-target.js';
import {east} from '../fixtures.js';

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
			members: [{address: 'a', dataCentre: east, incarnation: 2, heartbeat: 3}],
			wantsReply: true,
		});
		doTest('round-trip a crash notice', {
			method: 'crash',
			notice: {signature: makeId<Digest>('abc'), incarnation},
		});
		doTest('round-trip a failure notice', {method: 'failure', incarnation});
		doTest('round-trip a limit', {
			method: 'limit',
			notice: {incarnation, perSecond: 1.4, source: 'probe'},
		});
		doTest('round-trip a lifted limit', {
			method: 'limit',
			notice: {incarnation, perSecond: undefined, source: 'attempt'},
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

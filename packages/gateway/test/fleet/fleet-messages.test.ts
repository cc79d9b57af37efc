import {Buffer} from 'node:buffer';
import {makeId, type Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	decodeMessage,
	encodeMessage,
	type FleetMessage,
} from '../../src/fleet/fleet-messages.js';
import type {TargetLife} from '../../src/plan/registered-target.js';
import {east} from '../fixtures.js';

const life = makeId<TargetLife>('i-1@5');

describe('fleet messages', () => {
	describe('encodeMessage and decodeMessage', () => {
		function doTest(name: string, input: FleetMessage): void {
			it(name, () => {
				assert.equal(decodeMessage(encodeMessage(input)), input);
			});
		}

		doTest('carry members', {
			method: 'members',
			members: [{address: 'a', dataCentre: east, incarnation: 2, beat: 3}],
			wantsReply: true,
		});
		doTest('carry a crash', {
			method: 'crash',
			notice: {signature: makeId<Digest>('abc'), life},
		});
		doTest('carry a failure', {method: 'failure', life});
	});

	describe('decodeMessage', () => {
		function doTest(name: string, input: string): void {
			it(name, () => {
				assert.is(decodeMessage(Buffer.from(input)), undefined);
			});
		}

		doTest('refuses what is no JSON', '{');
		doTest('refuses another protocol', '{"method":"failure","params":["a"]}');
		doTest(
			'refuses an unknown method',
			'{"jsonrpc":"2.0","method":"x","params":[]}',
		);
		doTest(
			'refuses wrong parameters',
			'{"jsonrpc":"2.0","method":"crash","params":[1]}',
		);
	});
});

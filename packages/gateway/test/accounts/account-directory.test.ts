import {Buffer} from 'node:buffer';
import {makeId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {AccountDirectory} from '../../src/accounts/account-directory.js';
import {makeAccount} from '../fixtures.js';

describe('AccountDirectory', () => {
	describe('findByKey', () => {
		const directory = AccountDirectory.fromOrThrow([
			makeAccount('a', ['key-1', 'key-2', 'schl\u00FCssel']),
			makeAccount('b', ['key-3']),
		]);

		function doTest(
			name: string,
			input: string,
			expected: string | undefined,
		): void {
			it(name, () => {
				assert.is(directory.findByKey(input)?.name, expected);
			});
		}

		doTest('finds the account of its first key', 'key-1', 'a');
		doTest('finds the account of its second key', 'key-2', 'a');
		doTest('finds another account', 'key-3', 'b');
		doTest('finds nothing for an unknown key', 'key-4', undefined);
		doTest('finds nothing for the beginning of a key', 'key-', undefined);
		doTest('finds nothing for a key in another case', 'KEY-1', undefined);
		doTest('finds nothing without a key', '', undefined);
		// The text of a key in the plan is UTF-8; a header value has one character for each byte.
		doTest(
			'compares bytes, not characters',
			Buffer.from('schl\u00FCssel').toString('latin1'),
			'a',
		);
	});

	describe('add', () => {
		it('refuses an account that is listed twice and names it', () => {
			const directory = AccountDirectory.fromOrThrow([makeAccount('a', [])]);
			assert.is(
				directory.add(makeAccount('a', ['x'])).unwrapErr(),
				'account "a" is listed twice',
			);
		});

		it('refuses a key that another account holds, and names the accounts only', () => {
			const directory = AccountDirectory.fromOrThrow([
				makeAccount('a', ['secret']),
			]);
			assert.is(
				directory.add(makeAccount('b', ['x', 'secret'])).unwrapErr(),
				'accounts "a" and "b" hold the same key',
			);
		});

		it('accepts a key that one account lists twice, and counts it once', () => {
			const directory = AccountDirectory.fromOrThrow([
				makeAccount('a', ['x', 'x']),
			]);
			assert.is(directory.keyCount, 1);
			assert.is(directory.accountCount, 1);
			assert.equal(
				directory.accounts.map(({name}) => name),
				[makeId('a')],
			);
		});
	});
});

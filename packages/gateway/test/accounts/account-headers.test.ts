import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	getHostAccountHeaders,
	getTargetAccountHeaders,
} from '../../src/accounts/account-headers.js';
import {makeAccount, testProtocol} from '../fixtures.js';

describe('account headers', () => {
	// Guards against a key that reaches a target.
	it('for a target name the account and remove the key', () => {
		assert.equal(
			getTargetAccountHeaders(testProtocol, makeAccount('a', ['x'])),
			{credential: undefined, account: 'a'},
		);
	});

	it('for a target of a public route remove both', () => {
		assert.equal(getTargetAccountHeaders(testProtocol, undefined), {
			credential: undefined,
			account: undefined,
		});
	});

	it('for another host pass the key on and remove the account', () => {
		assert.equal(getHostAccountHeaders(testProtocol, 'x'), {
			credential: 'x',
			account: undefined,
		});
	});
});

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makeForwardingProtocol} from '../../src/forwarding/forwarding-protocol.js';
import {makeRegisteredTarget, testProtocol} from '../fixtures.js';

const protocol = makeForwardingProtocol(
	{...testProtocol, isSealed: (headers) => headers.seal !== undefined},
	'run-state',
	2,
);

describe('makeForwardingProtocol', () => {
	describe('isNotRun', () => {
		function doTest(
			name: string,
			input: Readonly<Record<string, string>>,
			expected: boolean,
		): void {
			it(name, () => {
				assert.is(protocol.isNotRun(503, input), expected);
			});
		}

		doTest("believes the host's own word", {'run-state': 'not-run'}, true);
		doTest(
			'is false if the request may have run',
			{'run-state': 'unknown'},
			false,
		);
		doTest('is false without a word', {}, false);
		doTest(
			'is false for the response of a target',
			{'run-state': 'not-run', seal: 'x'},
			false,
		);
	});

	it('tells the other host how many attempts are left', () => {
		assert.equal(protocol.getExpectationHeader(makeRegisteredTarget('a')), [
			'bilberryscale-attempts-left',
			'2',
		]);
	});

	// Guards against keys that a host of an earlier version would pass to targets.
	it('takes only hosts that check keys while the plan has accounts', () => {
		let hasAccounts = false;
		const {readHealth} = makeForwardingProtocol(
			testProtocol,
			'run-state',
			2,
			() => hasAccounts,
		);
		const read = (headers: Record<string, string>) =>
			readHealth(200, headers, makeRegisteredTarget('10.0.0.2'), 5).isHealthy;
		assert.is(read({}), true);
		hasAccounts = true;
		assert.is(read({}), false);
		assert.is(read({'bilberryscale-checks-accounts': '1'}), true);
	});

	it('reads whether the host takes requests', () => {
		const target = makeRegisteredTarget('10.0.0.2');
		const read = (status: number, headers: Record<string, string>) =>
			protocol.readHealth(status, headers, target, 5);
		const headers = {
			'bilberryscale-host': '10.0.0.2',
			'bilberryscale-open-requests': '3',
		};
		const health = read(200, headers);
		assert.is(health.isHealthy, true);
		assert.is(health.answeredBy, '10.0.0.2');
		assert.is(health.running, 3);
		assert.is(read(503, headers).isHealthy, false);
		assert.is(read(200, {}).answeredBy, undefined);
		assert.is(
			read(200, {...headers, 'bilberryscale-open-requests': 'x'}).running,
			0,
		);
	});
});

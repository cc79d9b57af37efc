import {makeId, type DataCentreId, type HostId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {GatewaySettings} from '../../src/context/gateway-settings.js';
import {
	LiveSettings,
	type SettingsChange,
} from '../../src/context/live-settings.js';

const endpoint = {address: '10.0.0.1', port: 1};
const settings: GatewaySettings = {
	host: makeId<HostId>('h1'),
	dataCentre: makeId<DataCentreId>('east'),
	callers: endpoint,
	readiness: endpoint,
	peers: endpoint,
	talkPort: 2,
	forwardingPort: 7,
	metrics: endpoint,
	seeds: [endpoint],
	retryBound: {ratio: 0.2, slack: 60, windowMs: 10_000},
	questionsPerTargetSecond: 60,
	maxAccountsAgeMs: undefined,
	maxChangeDelayMs: 2000,
	recoveryMs: 3000,
	isFirstStart: false,
	shutdownMs: 6000,
};

describe('LiveSettings', () => {
	describe('apply', () => {
		function doTest(
			name: string,
			input: Partial<GatewaySettings>,
			expected: SettingsChange,
		): void {
			it(name, () => {
				const liveSettings = new LiveSettings(settings);
				assert.equal(liveSettings.apply({...settings, ...input}), expected);
				assert.equal(liveSettings.current, {
					...settings,
					...Object.fromEntries(expected.taken.map((key) => [key, input[key]])),
				});
			});
		}

		const seeds = [{address: '10.0.0.2', port: 1}];
		const callers = {address: '10.0.0.1', port: 9};
		doTest(
			'changes nothing if the settings are equal',
			{},
			{taken: [], needsRestart: []},
		);
		doTest('applies new seeds', {seeds}, {taken: ['seeds'], needsRestart: []});
		doTest(
			'applies the maximum age of accounts',
			{maxAccountsAgeMs: 5000},
			{taken: ['maxAccountsAgeMs'], needsRestart: []},
		);
		doTest(
			'applies what it can and lists what needs a restart',
			{callers, shutdownMs: 2000},
			{taken: ['shutdownMs'], needsRestart: ['callers']},
		);
	});
});

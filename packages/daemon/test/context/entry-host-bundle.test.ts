import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	getPartValueName,
	manifestValueName,
	systemClock,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {EntryHost} from '../../src/context/entry-host.js';
import type {HostStatus} from '../../src/operators/operator-server.js';
import {
	parseSettings,
	type LoadedSettings,
} from '../../src/settings/load-settings.js';
import {
	makeSignedBundle,
	makeTrustPolicy,
	type SignedBundle,
} from '../bundle-store/bundle-fixtures.js';
import {getSettingsText} from '../settings/settings-fixture.js';

const address = '127.0.0.1';
const pollIntervalMs = 50;
const maxWaitMs = 20_000;

async function listen(server: http.Server): Promise<number> {
	await new Promise<void>((resolve) => {
		server.listen(0, address, resolve);
	});
	return (server.address() as AddressInfo).port;
}

async function getFreePort(): Promise<number> {
	const server = http.createServer();
	const port = await listen(server);
	server.close();
	return port;
}

/** Makes a platform that answers every read immediately, also when nothing has changed. */
function makePlatform({signed, parts}: SignedBundle): http.Server {
	const values = new Map([[manifestValueName, JSON.stringify(signed)]]);
	for (const [digest, text] of parts) {
		values.set(getPartValueName(digest), text);
	}

	return http.createServer((request, response) => {
		const url = new URL(request.url ?? '/', 'http://platform');
		const name = decodeURIComponent(url.pathname.replace('/v1/values/', ''));
		const value = values.get(name);
		const isUnchanged =
			value === undefined || url.searchParams.get('after') !== '0';
		response.writeHead(isUnchanged ? 304 : 200);
		response.end(
			isUnchanged ? undefined : JSON.stringify({revision: 1, value}),
		);
	});
}

async function makeSettings(platformPort: number): Promise<LoadedSettings> {
	const text = getSettingsText('level = "info"', 'level = "error"');
	const {settings} = parseSettings(text, 's.toml').unwrap();
	const {metrics: _metrics, ...rest} = settings;
	return {
		settings: {
			...rest,
			callers: {address, port: await getFreePort()},
			operators: {
				...settings.operators,
				address,
				port: await getFreePort(),
			},
			platform: {addresses: [`http://${address}:${platformPort}`]},
		},
		trust: makeTrustPolicy(['ana', 'bat', 'cid']),
	};
}

async function waitUntil(isMet: () => Promise<boolean>): Promise<void> {
	const deadlineMs = systemClock.monotonicMs() + maxWaitMs;
	while (systemClock.monotonicMs() < deadlineMs) {
		if (await isMet()) {
			return;
		}

		await sleep(pollIntervalMs);
	}

	throw new Error(`condition not met within ${maxWaitMs} ms`);
}

describe('EntryHost readiness', () => {
	it('becomes ready once a bundle is active, also if only reloaded keys make it valid', async () => {
		const bundle = makeSignedBundle({version: 4, signers: ['cid', 'eve']});
		const platform = makePlatform(bundle);
		const loaded = await makeSettings(await listen(platform));
		const {operators, callers} = loaded.settings;
		const host = new EntryHost({loaded, clock: systemClock, seed: 1});
		const fetchOperatorPath = async (path: string) =>
			fetch(`http://${address}:${operators.port}${path}`, {
				headers: {authorization: `Bearer ${operators.token}`},
			});
		const fetchAuditText = async () => {
			const answer = await fetchOperatorPath('/audit');
			return answer.text();
		};

		await host.start();
		try {
			await waitUntil(async () => {
				const text = await fetchAuditText();
				return text.includes('unsigned: signed by 1 trusted keys (cid)');
			});
			const readyAnswer = await fetchOperatorPath('/ready');
			assert.is(readyAnswer.status, 503);
			const callerAnswer = await fetch(
				`http://${address}:${callers.port}/reading`,
			);
			assert.is(callerAnswer.status, 503);
			assert.match(await callerAnswer.text(), '"kind":"not-ready"');

			host.reload({...loaded, trust: makeTrustPolicy(['cid', 'eve'])});
			await waitUntil(async () => {
				const {status} = await fetchOperatorPath('/ready');
				return status === 200;
			});
			const statusAnswer = await fetchOperatorPath('/status');
			const status = (await statusAnswer.json()) as HostStatus;
			assert.is(status.bundleVersion, 4);
			assert.is(status.bundleDigest?.length, 64);
			assert.match(await fetchAuditText(), '"kind":"key-loaded"');
		} finally {
			await host.stop();
			platform.closeAllConnections();
			platform.close();
		}
	});
});

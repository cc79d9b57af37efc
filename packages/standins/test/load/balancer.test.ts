import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@bilberryscale/testing';
import {Agent} from 'undici';
import * as assert from 'uvu/assert';
import {Balancer} from '../../src/load/balancer.js';

/** Starts a server that answers the n-th poll with the n-th delay and status, and repeats the last. */
async function startEntry(
	responses: ReadonlyArray<{readonly afterMs: number; readonly status: number}>,
) {
	let pollCount = 0;
	const server = http.createServer((_request, response) => {
		const {afterMs, status} =
			responses[Math.min(pollCount, responses.length - 1)]!;
		pollCount++;
		setTimeout(() => {
			response.writeHead(status).end();
		}, afterMs);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	return {
		entry: {callersUrl: url, readyUrl: `${url}/ready`},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

type PollResponses = Parameters<typeof startEntry>[0];

/** Checks which entry hosts the balancer picks, by index, after a time. */
async function testReadyEntries(
	responsesByHost: readonly PollResponses[],
	afterMs: number,
	expected: readonly number[],
): Promise<void> {
	const servers = await Promise.all(
		responsesByHost.map(async (responses) => startEntry(responses)),
	);
	const entries = servers.map(({entry}) => entry);
	const agent = new Agent();
	const balancer = new Balancer({entries, agent, seed: 1});
	await balancer.start();
	await sleep(afterMs);
	const pickedIndexes = new Set(
		Array.from({length: 50}, () => entries.indexOf(balancer.pickEntry())),
	);
	balancer.stop();
	await agent.destroy();
	for (const {close} of servers) {
		close();
	}

	assert.equal(
		[...pickedIndexes].toSorted((a, b) => a - b),
		expected,
	);
}

const ready = {afterMs: 0, status: 200};
const notReady = {afterMs: 0, status: 503};

describe('Balancer', () => {
	it('does not pick a host that is not ready', async () => {
		await testReadyEntries([[ready, notReady], [ready]], 600, [1]);
	});

	it('updates a host without waiting for the poll of a slower host', async () => {
		await testReadyEntries(
			[
				[ready, notReady],
				[ready, {afterMs: 900, status: 200}],
			],
			600,
			[1],
		);
	});

	it('ignores a response that arrives after the response to a later poll', async () => {
		await testReadyEntries(
			[[ready, {afterMs: 800, status: 200}, notReady], [ready]],
			1200,
			[1],
		);
	});
});

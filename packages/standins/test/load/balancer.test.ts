import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@bilberryscale/testing';
import {Agent} from 'undici';
import * as assert from 'uvu/assert';
import {Balancer} from '../../src/load/balancer.js';

/** Answers the n-th question after the n-th delay, with the n-th status; the last of each goes on. */
async function startEntry(
	answers: ReadonlyArray<{readonly afterMs: number; readonly status: number}>,
) {
	let count = 0;
	const server = http.createServer((_request, response) => {
		const {afterMs, status} = answers[Math.min(count, answers.length - 1)]!;
		count++;
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

/** Lists which hosts are ready, by number, after a time. */
async function testReadyEntries(
	hosts: readonly PollResponses[],
	afterMs: number,
	expected: readonly number[],
): Promise<void> {
	const started = await Promise.all(
		hosts.map(async (answers) => startEntry(answers)),
	);
	const entries = started.map(({entry}) => entry);
	const agent = new Agent();
	const balancer = new Balancer({entries, agent, seed: 1});
	await balancer.start();
	await sleep(afterMs);
	const drawn = new Set(
		Array.from({length: 50}, () => entries.indexOf(balancer.pickEntry())),
	);
	balancer.stop();
	await agent.destroy();
	for (const {close} of started) {
		close();
	}

	assert.equal(
		[...drawn].toSorted((a, b) => a - b),
		expected,
	);
}

const ready = {afterMs: 0, status: 200};
const notReady = {afterMs: 0, status: 503};

describe('Balancer', () => {
	it('leaves out a host that is not ready', async () => {
		await testReadyEntries([[ready, notReady], [ready]], 600, [1]);
	});

	it('does not wait for a slow host to learn about another', async () => {
		await testReadyEntries(
			[
				[ready, notReady],
				[ready, {afterMs: 900, status: 200}],
			],
			600,
			[1],
		);
	});

	it('does not believe an answer that a later one overtook', async () => {
		await testReadyEntries(
			[[ready, {afterMs: 800, status: 200}, notReady], [ready]],
			1200,
			[1],
		);
	});
});

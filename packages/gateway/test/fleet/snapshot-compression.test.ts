/** Guards against whole snapshots that cross data centres uncompressed, and against hosts of an earlier version that cannot read compressed ones. */

import {request} from 'node:http';
import {makeSeededRandom, ManualClock, systemClock} from '@bilberryscale/core';
import {describe, getFreePorts, it} from '@bilberryscale/testing';
import {Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {PeerReader} from '../../src/fleet/peer-reader.js';
import {SnapshotServer} from '../../src/fleet/snapshot-server.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {SnapshotFeed} from '../../src/snapshot/snapshot-feed.js';
import {
	decodeTestItem,
	makeChanges,
	makeTestLog,
	makeUpdate,
	ScriptedSource,
	testBudget,
} from '../fixtures.js';

const address = '127.0.0.1';
const targetCount = 280;

/** Makes the text of a target's entry, with identifiers and numbers that differ from entry to entry. */
function makeText(random: () => number): string {
	const id = Math.floor(random() * 1e12).toString(36);
	return JSON.stringify({
		id: `i-${id}`,
		service: 'reading',
		address: `10.${Math.floor(random() * 255)}.0.${Math.floor(random() * 255)}`,
		port: 30_000 + Math.floor(random() * 1000),
		zone: 'region-1-b',
		slots: 3,
		state: 'ready',
		sequence: Math.floor(random() * 1000),
		startedAtMs: 1_770_000_000_000 + Math.floor(random() * 1e8),
		warmUpMs: 0,
		build: `2026.2.${Math.floor(random() * 9)}`,
	}).padEnd(250);
}

async function makeServer(): Promise<{
	readonly server: SnapshotServer;
	readonly port: number;
}> {
	const clock = new ManualClock();
	const {log} = makeTestLog(clock);
	const random = makeSeededRandom(5);
	const items = Array.from({length: targetCount}, (_, index) =>
		makeUpdate(`t-${index}`, index + 1, makeText(random)),
	);
	const store = new ScriptedSource('store', true);
	store.scriptedResults.push(
		Ok(makeChanges(targetCount, items, true)),
		Ok(makeChanges(targetCount, [])),
	);
	const feed = new SnapshotFeed({
		clock,
		random,
		log,
		metrics: new GatewayMetrics().snapshot,
		decode: decodeTestItem,
		address,
		getSources: () => [store],
		directStore: store,
		budget: testBudget,
		getRank: () => 0,
		getHostCount: () => 1,
		expectsPeers: () => false,
		onSnapshot: () => undefined,
		onCaughtUp: () => undefined,
	});
	void feed.run();
	await new Promise(setImmediate);
	const server = new SnapshotServer(feed, log);
	const [port = 0] = await getFreePorts(address, 1);
	await server.listen({address, port});
	return {server, port};
}

async function readRaw(
	port: number,
	encoding: string,
): Promise<{readonly encoding: string | null; readonly size: number}> {
	return new Promise((resolve, reject) => {
		const outgoing = request(
			{
				host: address,
				port,
				method: 'POST',
				headers: {'accept-encoding': encoding},
			},
			(response) => {
				let size = 0;
				response.on('data', (chunk: Uint8Array) => {
					size += chunk.length;
				});
				response.on('end', () => {
					resolve({
						encoding: response.headers['content-encoding'] ?? null,
						size,
					});
				});
			},
		);
		outgoing.on('error', reject);
		outgoing.end(
			'{"jsonrpc":"2.0","id":1,"method":"knowledge.read","params":{"waitMs":0}}',
		);
	});
}

describe('snapshots between hosts', () => {
	function doTest(name: string, isFar: boolean): void {
		it(name, async () => {
			const {server, port} = await makeServer();
			const reader = new PeerReader({
				clock: systemClock,
				address: `${address}:${port}`,
				localAddress: address,
				onResponse: () => undefined,
				isFar,
			});
			try {
				const result = await reader.readAll();
				assert.is(result.unwrap().changes.length, targetCount);
			} finally {
				reader.close();
				server.close();
			}
		});
	}

	doTest('are read from the own data centre', false);
	doTest('are read from another data centre', true);

	it('are compressed to less than a fifth, only for hosts that ask for it', async () => {
		const {server, port} = await makeServer();
		try {
			const plain = await readRaw(port, 'identity');
			const compressed = await readRaw(port, 'gzip');
			assert.is(plain.encoding, null);
			assert.is(compressed.encoding, 'gzip');
			assert.ok(
				compressed.size < plain.size / 5,
				`${compressed.size} of ${plain.size}`,
			);
		} finally {
			server.close();
		}
	});
});

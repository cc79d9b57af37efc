/**
 * A host that reads from another one over a narrow link: the read ended at a fixed
 * time and began anew without end.
 */

import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock} from '@bilberryscale/core';
import {describe, it, sendAtRate} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {PeerReader} from '../../src/fleet/peer-reader.js';
import {makeChanges, makeUpdate} from '../fixtures.js';

const planLength = 1_048_576;
/** The narrowest link of a host. */
const bytesPerSecond = 875_000;

/** Starts a host that sends a large plan at some rate. */
async function startHost(rate: number): Promise<Server> {
	const plan = makeUpdate('plan', 5, 'x'.repeat(planLength));
	const result = makeChanges(5, [plan]);
	const server = createServer((_request, response) => {
		void sendAtRate(
			response,
			JSON.stringify({jsonrpc: '2.0', id: 1, result}),
			rate,
		);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

async function withReader(
	rate: number,
	body: (reader: PeerReader) => Promise<void>,
): Promise<void> {
	const server = await startHost(rate);
	const reader = new PeerReader({
		clock: systemClock,
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		localAddress: '127.0.0.1',
		onResponse: () => undefined,
		isFar: false,
	});
	try {
		await body(reader);
	} finally {
		reader.close();
		server.close();
		server.closeAllConnections();
	}
}

describe('PeerReader', () => {
	describe('readAll, of a large plan', () => {
		it('ends with the plan over the narrowest link, after some failures', async () => {
			await withReader(bytesPerSecond, async (reader) => {
				let result = await reader.readAll();
				for (let count = 0; result.isErr() && count < 4; count++) {
					result = await reader.readAll();
				}

				const {changes} = result.unwrap();
				assert.is(changes[0]?.text?.length, planLength);
			});
		});

		it('leaves a slow host to the next source first', async () => {
			await withReader(bytesPerSecond / 10, async (reader) => {
				const startedAtMs = performance.now();
				const result = await reader.readAll();
				const tookMs = performance.now() - startedAtMs;
				assert.ok(result.isErr());
				assert.ok(tookMs < 600, `${tookMs} ms`);
			});
		});
	});
});

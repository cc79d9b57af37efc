import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@bilberryscale/testing';
import {Agent, request} from 'undici';
import * as assert from 'uvu/assert';
import {AddressPlan, SimulatedPlatform} from '../../src/index.js';

type Read = (path: string) => Promise<string>;

const longWaitMs = 5000;
const listDelayMs = 100;

async function withPlatform(
	body: (
		platform: SimulatedPlatform,
		read: Read,
		reader: string,
	) => Promise<void>,
): Promise<void> {
	const plan = await AddressPlan.claim();
	const platform = new SimulatedPlatform();
	const agent = new Agent({localAddress: plan.callers});
	const {address, port} = plan.platform;
	await platform.listen(plan.platform);
	const read: Read = async (path) => {
		const url = `http://${address}:${port}/v1/${path}`;
		const response = await request(url, {dispatcher: agent});
		const text = await response.body.text();
		return `${response.statusCode} ${text}`;
	};

	try {
		await body(platform, read, plan.callers);
	} finally {
		await agent.destroy();
		await platform.close();
		plan.release();
	}
}

describe('SimulatedPlatform', () => {
	it('counts a long poll as one request and completes it on a change', async () =>
		withPlatform(async (platform, read) => {
			platform.setValue('a', 'one');
			const watch = read(`values/a?after=1&wait=${longWaitMs}`);
			await sleep(20);
			platform.setValue('a', 'two');
			assert.is(await watch, '200 {"revision":2,"value":"two"}');
			assert.is(platform.callCount, 1);
		}));

	it('fails pending long polls when it goes down', async () =>
		withPlatform(async (platform, read) => {
			const watch = read(`values/a?after=1&wait=${longWaitMs}`);
			await sleep(20);
			platform.setDown(true);
			assert.match(await watch, '503');
			platform.setDown(false);
			assert.match(await read('values/a'), '404');
		}));

	it('serves the previously published content while it is stale', async () =>
		withPlatform(async (platform, read) => {
			platform.setValue('a', 'one');
			platform.setStale(true);
			platform.setValue('a', 'two');
			assert.match(await read('values/a'), 'one');
			platform.setStale(false);
			assert.match(await read('values/a'), 'two');
		}));

	it('serves a new host list after the delay, and a separate list to a single reader', async () =>
		withPlatform(async (platform, read, reader) => {
			platform.setHosts([]);
			platform.hostListDelayMs = listDelayMs;
			const host = {
				id: 'entry-1',
				dataCentre: 'east',
				address: '127.0.0.1',
				peerPort: 1,
				state: 'live',
			} as const;
			platform.setHosts([host]);
			assert.not.match(await read('hosts'), 'entry-1');
			await sleep(listDelayMs * 2);
			assert.match(await read('hosts'), 'entry-1');
			platform.setHostsFor(reader, [{...host, id: 'entry-2'}]);
			assert.match(await read('hosts'), 'entry-2');
		}));
});

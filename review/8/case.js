/** All processes are killed after the configuration has grown, on machines with narrow links. */

import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	call,
	Fleet,
	makeConfig,
	NarrowLink,
	now,
	RecordFile,
	sleep,
	Store,
	Upstream,
} from '../lib-2/lab.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** The largest count of `big_config` in the site files. */
const addedRouteCount = Number(process.env.ROUTES ?? 1400);
/** The narrowest links of the grown deployments. */
const linkMbps = 7;
const bytesPerMegabit = 125_000;
const recoverMs = 15_000;
const beforeMs = 6000;
const afterMs = 20_000;
const downMs = 1000;
const callIntervalMs = 200;
const record = new RecordFile(
	path.join(path.dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);
const store = new Store();
await store.listen('127.0.0.1');
const upstreams = ['i-a', 'i-b', 'i-c', 'i-d'].map(
	(id) => new Upstream({id, service: 's'}),
);
const links = [1, 2, 3].map(
	() =>
		new NarrowLink({
			target: store.address,
			bytesPerSecond: linkMbps * bytesPerMegabit,
		}),
);
const fleet = new Fleet({
	count: links.length,
	store,
	linkMbps,
	getStoreAddress: (index) => links[index].address,
});
let callCount = 0;

function makeRoutes() {
	const filing = {
		name: 'filing',
		host: 'a.example',
		prefix: '/file/',
		type: 'unsafe',
		service: 's',
	};
	const added = Array.from({length: addedRouteCount}, (_, index) => {
		const soum = `soum-${String(index).padStart(4, '0')}`;
		return {
			name: `consultation-draft-law-${soum}`,
			host: 'consultation.example',
			prefix: `/consultation/2026/draft-law/${soum}/comments/`,
			type: 'safe',
			service: 's',
		};
	});
	return {filing, added};
}

/** Files requests at all machines in turn for some time and returns the share that was served. */
async function measure(durationMs, label) {
	const untilMs = now() + durationMs;
	const calls = [];
	while (now() < untilMs) {
		const host = fleet.hosts[callCount % fleet.hosts.length];
		const id = `request-${++callCount}`;
		const request = {
			method: 'POST',
			url: '/file/1',
			host: 'a.example',
			id,
			deadlineMs: 3000,
			body: 'comment',
		};
		calls.push(
			(async () => {
				const answer = await call(host, request);
				const hasRun = upstreams.some(({runs}) =>
					runs.some((run) => run.id === id),
				);
				record.add(
					`${label}: ${id} to ${host.name}: answer ${answer.status || answer.ended}, run by an upstream: ${hasRun}`,
				);
				return answer.status === 200;
			})(),
		);
		await sleep(callIntervalMs);
	}

	const results = await Promise.all(calls);
	const servedCount = results.filter(Boolean).length;
	record.add(`${label}: ${servedCount} of ${results.length} served`);
	return servedCount / results.length;
}

let exitCode = 2;
try {
	for (const part of [...upstreams, ...links]) {
		await part.listen('127.0.0.1');
	}

	for (const upstream of upstreams) {
		upstream.register(store);
	}

	const {filing, added} = makeRoutes();
	const services = ['s'];
	store.set('op/config', makeConfig({version: 1, services, routes: [filing]}));
	await fleet.start();
	await fleet.waitUntilReady();
	await sleep(1500);
	const grown = makeConfig({version: 2, services, routes: [filing, ...added]});
	record.add(
		`the configuration grows by ${addedRouteCount} routes to ${JSON.stringify(grown).length} bytes`,
	);
	store.set('op/config', grown);
	await sleep(3000);
	const before = await measure(beforeMs, 'before');
	if (hasTrouble) {
		record.add('all processes are killed');
		for (const {child} of fleet.hosts) {
			child.kill('SIGKILL');
		}

		await sleep(downMs);
		record.add('all processes are started');
		for (const host of fleet.hosts) {
			fleet.relaunch(host);
		}
	}

	await sleep(recoverMs);
	const after = await measure(afterMs, 'after');
	const ready = await Promise.all(
		fleet.hosts.map(async (host) => fleet.isReady(host)),
	);
	record.add(`ready at the end: ${ready.join(', ')}`);
	const lastLines = fleet.readLog(fleet.hosts[0]).filter(Boolean).slice(-3);
	record.add(
		`the last lines that front-1 has written:\n${lastLines.join('\n')}`,
	);
	if (before >= 0.25) {
		exitCode = after < 0.25 ? 1 : 0;
	}
} catch (error) {
	record.add(`the case could not run: ${error.stack}`);
} finally {
	await fleet.stop();
	store.close();
	for (const part of [...upstreams, ...links]) {
		part.close();
	}

	record.write();
}

// eslint-disable-next-line unicorn/no-process-exit -- A program decides its own exit code.
process.exit(exitCode);

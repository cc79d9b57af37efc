/** Entries that another writer has left in the store end entry processes as soon as a server crashes. */

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {KeptClient} from '../lib/client.js';
import {makeConfig, makeEntry} from '../lib/documents.js';
import {withFleet} from '../lib/fleet.js';
import {runCase} from '../lib/record.js';
import {Server} from '../lib/server.js';
import {Store} from '../lib/store.js';

const serverCount = 16;
const foreignCount = 20;
/** At most 0.15 of the servers of a service crash. */
const crashedCount = 2;
const clientsPerEntry = 16;
const workMs = 250;
const crashAtMs = 3000;
const endsAtMs = 7500;
const restartDelayMs = 500;
/** The rule allows so many requests to be closed without an answer. */
const allowedCount = 3;

const hasTrouble = process.env.TROUBLE !== '0';

await runCase(import.meta.url, hasTrouble, async (record) => {
	const store = new Store();
	await store.listen();
	const runs = new Map();
	const run = ({id, response, server}) => {
		runs.set(id, server.id);
		setTimeout(() => {
			response.end(`${server.id} ran ${id}`);
		}, workMs);
	};

	const servers = Array.from(
		{length: serverCount},
		(_, index) =>
			new Server({
				id: `i-${index}`,
				service: 'draft-portal',
				zone: index,
				run,
			}),
	);
	for (const server of servers) {
		await server.listen();
		store.set(`servers/${server.id}`, makeEntry(server));
	}

	store.set(
		'op/config',
		makeConfig(
			1,
			[{prefix: '/draft/', type: 'safe', service: 'draft-portal'}],
			['draft-portal'],
		),
	);
	if (hasTrouble && process.env.ENTRIES !== '0') {
		for (let index = 0; index < foreignCount; index++) {
			record.add(`another writer adds the entry servers/legacy-${index}`);
			store.set(
				`servers/legacy-${index}`,
				makeEntry({
					address: '127.0.0.1:99999',
					service: 'legacy-forms',
					bornMs: Date.now(),
					zone: index,
				}),
			);
		}
	}

	try {
		return await withFleet(
			{count: 3, storeAddress: store.address},
			async (entries) => {
				const startedAtMs = performance.now();
				const isOver = () => performance.now() - startedAtMs > endsAtMs;
				const outcomes = [];
				const ends = [];
				for (const entry of entries) {
					watch(entry, {record, ends, isOver});
				}

				const clients = entries.flatMap((entry) =>
					Array.from({length: clientsPerEntry}, async (_, client) => {
						const kept = new KeptClient(entry.front);
						for (let index = 0; !isOver(); index++) {
							const id = `req-${entry.index}-${client}-${index}`;
							const outcome = await kept.send({id, path: `/draft/${id}`});
							outcomes.push(outcome);
							await sleep(outcome.status === 200 ? 20 : 300);
						}

						kept.close();
					}),
				);
				await sleep(crashAtMs);
				const crashed = servers.slice(0, crashedCount);
				const crashedIds = new Set(crashed.map(({id}) => id));
				if (hasTrouble) {
					for (const server of crashed) {
						record.add(`server ${server.id} crashes`);
						server.close();
					}
				}

				await Promise.all(clients);
				const lost = outcomes.filter(
					({id, status, isKept, hasTimedOut}) =>
						status === 0 &&
						isKept &&
						!hasTimedOut &&
						runs.has(id) &&
						!crashedIds.has(runs.get(id)),
				);
				for (const {id} of lost) {
					record.add(
						`${id} was closed without an answer on a kept connection; server ${runs.get(id)}, which is sound, ran it`,
					);
				}

				const served = outcomes.filter(({status}) => status === 200).length;
				record.add(
					`${served} of ${outcomes.length} requests were answered with 200; entry processes ended by themselves ${ends.length} times; ${lost.length} requests of sound servers on kept connections were closed without an answer`,
				);
				return lost.length > allowedCount;
			},
		);
	} finally {
		store.close();
		for (const server of servers) {
			server.close();
		}
	}
});

/** Restarts a process that ends by itself, as the platform does. */
async function watch(entry, {record, ends, isOver}) {
	while (!isOver()) {
		const {code, signal} = await entry.exited;
		if (isOver()) {
			return;
		}

		ends.push(entry.index);
		const cause = /^[A-Z]\w*Error.*$/mv.exec(entry.readLog())?.[0];
		record.add(
			`entry ${entry.index} has ended by itself: code ${code}, signal ${signal}, ${cause}`,
		);
		await sleep(restartDelayMs);
		entry.start();
	}
}

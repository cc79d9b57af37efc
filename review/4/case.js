/** A process that is being stopped passes on requests behind others on their connections, and cuts them. */

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {PipeliningClient} from '../lib/client.js';
import {makeConfig, makeEntry} from '../lib/documents.js';
import {withFleet} from '../lib/fleet.js';
import {isLost} from '../lib/planned-stop.js';
import {runCase} from '../lib/record.js';
import {Server} from '../lib/server.js';
import {Store} from '../lib/store.js';

/** The time limit of the clients and the timeout of the route. */
const timeLimitMs = 10_000;
const clientCount = 4;
/** Times from the SIGTERM, in milliseconds. */
const firstSendAtMs = 1600;
const secondSendAtMs = 3200;
const endsAtMs = 10_500;
/** How long servers work on the first and the second request of each client, in milliseconds. */
const firstWorkMs = 2600;
const secondWorkMs = 2400;

const hasTrouble = process.env.TROUBLE !== '0';

await runCase(import.meta.url, hasTrouble, async (record) => {
	const store = new Store();
	await store.listen();
	const runs = new Set();
	const run = ({id, response, server}) => {
		runs.add(id);
		record.add(`server ${server.id} runs ${id}`);
		response.once('close', () => {
			if (!response.writableFinished) {
				record.add(
					`server ${server.id}: the connection of ${id} was closed while it worked`,
				);
			}
		});
		setTimeout(
			() => {
				response.end(`${server.id} ran ${id}`);
			},
			id.startsWith('first') ? firstWorkMs : secondWorkMs,
		);
	};

	const servers = [0, 1, 2].map(
		(zone) =>
			new Server({id: `i-${zone}`, service: 'digest-service', zone, run}),
	);
	for (const server of servers) {
		await server.listen();
		store.set(`servers/${server.id}`, makeEntry(server));
	}

	store.set(
		'op/config',
		makeConfig(
			1,
			[{prefix: '/summary/', type: 'safe', service: 'digest-service'}],
			['digest-service'],
		),
	);
	try {
		return await withFleet(
			{count: 3, storeAddress: store.address},
			async ([entry]) => {
				const startedAtMs = performance.now();
				const waitUntil = async (atMs) =>
					sleep(Math.max(0, startedAtMs + atMs - performance.now()));
				let stoppedAtMs;
				if (hasTrouble) {
					record.add('SIGTERM to entry 0');
					entry.signal('SIGTERM');
					stoppedAtMs = performance.now();
				}

				await waitUntil(firstSendAtMs);
				const clients = Array.from(
					{length: clientCount},
					() => new PipeliningClient(entry.front),
				);
				const sendAll = (kind) =>
					clients.map(async (client, index) => {
						const id = `${kind}-${index}`;
						record.add(`client ${index} sends ${id} to entry 0`);
						const sentAtMs = performance.now();
						const answer = await client.send({
							id,
							path: `/summary/${id}`,
							deadlineMs: timeLimitMs,
						});
						const endedAtMs = performance.now();
						record.add(
							`client ${index} got ${id}: status ${answer.status}, connection ${answer.ended}`,
						);
						return {...answer, sentAtMs, endedAtMs};
					});
				const firsts = sendAll('first');
				await waitUntil(secondSendAtMs);
				const seconds = sendAll('second');
				await waitUntil(endsAtMs);
				for (const client of clients) {
					client.close();
				}

				await Promise.all(firsts);
				const answers = await Promise.all(seconds);
				const lost = answers.filter(
					(answer) =>
						runs.has(answer.id) && isLost(answer, {stoppedAtMs, timeLimitMs}),
				);
				record.add(
					`${lost.length} of ${answers.length} second requests were passed on and lost by the rule`,
				);
				if (!hasTrouble && answers.some(({status}) => status !== 200)) {
					throw new Error('not all are answered without the disruption');
				}

				return lost.length > 0;
			},
		);
	} finally {
		store.close();
		for (const server of servers) {
			server.close();
		}
	}
});

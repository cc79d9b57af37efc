/** Measures what callers of keyed calls meet while hosts crash and leave. */

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeSeededRandom} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';
import {Cluster} from '../cluster/cluster.js';
import {countRunTwice} from '../cluster/summary.js';
import {getDeploymentOrThrow} from '../deployment/deployment.js';

type Send = {
	readonly phase: string;
	readonly isFirst: boolean;
	readonly outcome: string;
};

const entryCount = 15;
const seed = 1;
const spacingMs = 20;
const phaseMs = 15_000;
const resendMs = 1000;
const resends = 20;
const crashed = 1;
const replaced = 2;

const random = makeSeededRandom(seed);
const sends: Send[] = [];
const closed = new Set<number>();
let phase = 'calm';
let unanswered = 0;
const loadEnd = new AbortController();

const deployment = getDeploymentOrThrow('mongolia');
const cluster = await Cluster.start({deployment, entryCount, seed});
await runAll();
report();
await cluster.stop();
process.exit(0);

async function runAll(): Promise<void> {
	const load = startLoad();
	await sleep(phaseMs);
	await runPhase('crash', crashed, 'SIGKILL');
	await runPhase('replacement', replaced, 'SIGTERM');
	loadEnd.abort();
	await load;
}

async function runPhase(
	name: string,
	index: number,
	signal: NodeJS.Signals,
): Promise<void> {
	const place = cluster.entries[index]!;
	phase = name;
	closed.add(index);
	const child = cluster.getChildOrThrow(place.host);
	child.kill(signal);
	await child.waitForEnd();
	await sleep(phaseMs);
	phase = `start after ${name}`;
	cluster.startEntry(place);
	await cluster.waitUntilReady();
	closed.delete(index);
	await sleep(phaseMs);
}

async function startLoad(): Promise<void> {
	const calls: Array<Promise<void>> = [];
	while (!loadEnd.signal.aborted) {
		calls.push(submit());
		await sleep(spacingMs);
	}

	await Promise.all(calls);
}

/** Sends a submission under one key until it has an answer. */
async function submit(): Promise<void> {
	const key = uuidv7();
	for (let number = 0; number <= resends; number++) {
		const ownPhase = phase;
		const outcome = await send(key);
		sends.push({phase: ownPhase, isFirst: number === 0, outcome});
		if (outcome === 'answered') {
			return;
		}

		await sleep(resendMs);
	}

	unanswered++;
}

async function send(key: string): Promise<string> {
	const open = cluster.balanced.filter((_, index) => !closed.has(index));
	const {callersUrl} = open[Math.floor(random() * open.length)]!;
	try {
		const answer = await fetch(`${callersUrl}/submission-register/x`, {
			method: 'POST',
			headers: {'idempotency-key': key},
			body: key,
		});
		const content = (await answer.json()) as {kind?: string};
		return content.kind ?? 'answered';
	} catch {
		return 'no answer';
	}
}

function report(): void {
	for (const name of new Set(sends.map((item) => item.phase))) {
		const first = sends.filter((item) => item.phase === name && item.isFirst);
		const kinds = new Set(first.map(({outcome}) => outcome));
		const shares = [...kinds].map((kind) => {
			const count = first.filter(({outcome}) => outcome === kind).length;
			return `${kind} ${count} (${((100 * count) / first.length).toFixed(2)} %)`;
		});
		say(`${name}: ${first.length} first sends: ${shares.join(', ')}`);
	}

	say(`no answer after ${resends} resends: ${unanswered}`);
	say(`run twice: ${countRunTwice(cluster.getRuns())}`);
}

function say(text: string): void {
	process.stdout.write(`${text}\n`);
}

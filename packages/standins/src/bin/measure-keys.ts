/** Measures the outcomes of calls with idempotency keys while hosts crash and are replaced. */

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeSeededRandom} from '@bilberryscale/core';
import {uuidv7} from 'uuidv7';
import {Cluster} from '../cluster/cluster.js';
import {countRepeatedRuns} from '../cluster/summarise-calls.js';
import {getDeploymentOrThrow} from '../deployment/deployment.js';

type Attempt = {
	readonly phase: string;
	readonly isFirstAttempt: boolean;
	readonly outcome: string;
};

const entryCount = 15;
const seed = 1;
const sendIntervalMs = 20;
const phaseMs = 15_000;
const retryDelayMs = 1000;
const maxRetries = 20;
const crashedIndex = 1;
const replacedIndex = 2;

const random = makeSeededRandom(seed);
const attempts: Attempt[] = [];
const downIndexes = new Set<number>();
let phase = 'calm';
let unansweredCount = 0;
const loadAbort = new AbortController();

const deployment = getDeploymentOrThrow('mongolia');
const cluster = await Cluster.start({deployment, entryCount, seed});
await runAll();
printReport();
await cluster.stop();
process.exit(0);

async function runAll(): Promise<void> {
	const load = startLoad();
	await sleep(phaseMs);
	await runPhase('crash', crashedIndex, 'SIGKILL');
	await runPhase('replacement', replacedIndex, 'SIGTERM');
	loadAbort.abort();
	await load;
}

async function runPhase(
	name: string,
	index: number,
	signal: NodeJS.Signals,
): Promise<void> {
	const entry = cluster.entries[index]!;
	phase = name;
	downIndexes.add(index);
	const child = cluster.getProcessOrThrow(entry.host);
	child.kill(signal);
	await child.waitForExit();
	await sleep(phaseMs);
	phase = `start after ${name}`;
	cluster.startEntry(entry);
	await cluster.waitUntilReady();
	downIndexes.delete(index);
	await sleep(phaseMs);
}

async function startLoad(): Promise<void> {
	const calls: Array<Promise<void>> = [];
	while (!loadAbort.signal.aborted) {
		calls.push(submit());
		await sleep(sendIntervalMs);
	}

	await Promise.all(calls);
}

/** Sends a submission and retries it under the same idempotency key until it is answered. */
async function submit(): Promise<void> {
	const key = uuidv7();
	for (let attempt = 0; attempt <= maxRetries; attempt++) {
		const phaseAtSend = phase;
		const outcome = await send(key);
		attempts.push({phase: phaseAtSend, isFirstAttempt: attempt === 0, outcome});
		if (outcome === 'answered') {
			return;
		}

		await sleep(retryDelayMs);
	}

	unansweredCount++;
}

async function send(key: string): Promise<string> {
	const upEntries = cluster.balancedEntries.filter(
		(_, index) => !downIndexes.has(index),
	);
	const {callersUrl} = upEntries[Math.floor(random() * upEntries.length)]!;
	try {
		const response = await fetch(`${callersUrl}/submission-register/x`, {
			method: 'POST',
			headers: {'idempotency-key': key},
			body: key,
		});
		const content = (await response.json()) as {kind?: string};
		return content.kind ?? 'answered';
	} catch {
		return 'no answer';
	}
}

function printReport(): void {
	for (const name of new Set(attempts.map((item) => item.phase))) {
		const firstAttempts = attempts.filter(
			(item) => item.phase === name && item.isFirstAttempt,
		);
		const kinds = new Set(firstAttempts.map(({outcome}) => outcome));
		const shares = [...kinds].map((kind) => {
			const count = firstAttempts.filter(
				({outcome}) => outcome === kind,
			).length;
			return `${kind} ${count} (${((100 * count) / firstAttempts.length).toFixed(2)} %)`;
		});
		printLine(
			`${name}: ${firstAttempts.length} first attempts: ${shares.join(', ')}`,
		);
	}

	printLine(`no answer after ${maxRetries} retries: ${unansweredCount}`);
	printLine(`repeated runs: ${countRepeatedRuns(cluster.readRuns())}`);
}

function printLine(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** Sends open-loop load: calls start when they are due, however slow others are. */

import {createHash} from 'node:crypto';
import fs from 'node:fs';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callerHeaders,
	makeSeededRandom,
	type RandomSource,
} from '@bilberryscale/core';
import {Agent, request} from 'undici';
import {uuidv7} from 'uuidv7';
import {Balancer} from './balancer.js';
import type {CallRecord, LoadPlan, ServiceLoad} from './load-plan.js';

const tickMs = 1;
const connectionsPerEntry = 128;
const bodyLetters = 200;

/** Takes the record of each call as it ends. */
export type CallSink = (record: CallRecord) => void;

type PendingCall = {
	readonly load: ServiceLoad;
	readonly dueMs: number;
};

/**
 * Runs a load to its end.
 *
 * @param plan - The load.
 * @param onCall - Takes each call's record.
 * @returns The records of all calls.
 */
export async function runLoad(
	plan: LoadPlan,
	onCall: CallSink = () => undefined,
): Promise<readonly CallRecord[]> {
	const agent = new Agent({
		connections: connectionsPerEntry,
		localAddress: plan.localAddress,
	});
	const balancer = new Balancer({
		entries: plan.entries,
		agent,
		seed: plan.seed,
	});
	await balancer.start();
	const records: CallRecord[] = [];
	const calls = drawArrivals(plan);
	const startMs = performance.now();
	const running: Array<Promise<void>> = [];
	for (const call of calls) {
		const dueMs = startMs + call.dueMs;
		while (performance.now() < dueMs) {
			await sleep(tickMs);
		}

		running.push(
			sendCall(call.load, dueMs, balancer, agent).then((record) => {
				records.push(record);
				onCall(record);
			}),
		);
	}

	await Promise.all(running);
	balancer.stop();
	await agent.destroy();
	writeHistory(plan, records);
	return records;
}

/** Draws the due times of all calls, in order. */
function drawArrivals(plan: LoadPlan): PendingCall[] {
	const random = makeSeededRandom(plan.seed);
	return plan.services
		.flatMap((load) => drawServiceArrivals(load, plan.durationMs, random))
		.toSorted((a, b) => a.dueMs - b.dueMs);
}

function drawServiceArrivals(
	load: ServiceLoad,
	durationMs: number,
	random: RandomSource,
): PendingCall[] {
	const meanGapMs = 1000 / load.callsPerSecond;
	const calls: PendingCall[] = [];
	let dueMs = 0;
	for (;;) {
		dueMs += -Math.log(1 - random()) * meanGapMs;
		if (dueMs >= durationMs) {
			return calls;
		}

		calls.push({load, dueMs});
	}
}

async function sendCall(
	load: ServiceLoad,
	dueMs: number,
	balancer: Balancer,
	agent: Agent,
): Promise<CallRecord> {
	const entry = balancer.drawEntry();
	const requestId = uuidv7();
	const key = load.method === 'POST' ? uuidv7() : undefined;
	const body = load.method === 'POST' ? requestId.repeat(bodyLetters) : '';
	const base = {
		service: load.service,
		method: load.method,
		requestId,
		key,
		entry: entry.callersUrl,
		sentAtMs: Date.now(),
	};
	try {
		const answer = await request(`${entry.callersUrl}/${load.service}/item`, {
			dispatcher: agent,
			method: load.method,
			headers: {
				[callerHeaders.requestId]: requestId,
				[callerHeaders.callerClass]: load.callerClass,
				...(key !== undefined && {[callerHeaders.idempotencyKey]: key}),
			},
			body: body === '' ? null : body,
		});
		const content = (await answer.body.json()) as Record<string, unknown>;
		return {
			...base,
			latencyMs: performance.now() - dueMs,
			status: answer.statusCode,
			errorKind: content.kind as string | undefined,
			ran: content.ran as string | undefined,
			isWhole: isOwnAnswer(content, requestId, body),
		};
	} catch (error) {
		return {
			...base,
			latencyMs: performance.now() - dueMs,
			status: 0,
			errorKind: (error as Error).name,
			ran: undefined,
			isWhole: false,
		};
	}
}

function isOwnAnswer(
	content: Record<string, unknown>,
	requestId: string,
	body: string,
): boolean {
	if (content.requestId !== requestId) {
		return false;
	}

	const digest = createHash('sha256').update(body).digest('hex');
	return content.kind !== undefined || content.bodyDigest === digest;
}

function writeHistory(plan: LoadPlan, records: readonly CallRecord[]): void {
	if (plan.historyFile !== undefined) {
		const lines = records.map((record) => `${JSON.stringify(record)}\n`);
		fs.writeFileSync(plan.historyFile, lines.join(''));
	}
}

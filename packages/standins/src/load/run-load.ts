/** Sends an open-loop load: each call starts when it is due, even while earlier calls are slow. */

import fs from 'node:fs';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {Balancer} from './balancer.js';
import {Caller} from './caller.js';
import {drawArrivals} from './draw-arrivals.js';
import type {CallRecord, LoadPlan} from './load-plan.js';

const tickMs = 1;
const connectionsPerEntry = 128;

/** Is called with the record of each attempt when its call has ended. */
export type CallRecordListener = (record: CallRecord) => void;

/**
 * Sends a load and waits until all its calls have ended.
 *
 * @param plan - The load.
 * @param onRecord - Is called with the record of each attempt.
 * @returns The records of all attempts.
 */
export async function runLoad(
	plan: LoadPlan,
	onRecord: CallRecordListener = () => undefined,
): Promise<readonly CallRecord[]> {
	const agent = new Agent({
		connections: connectionsPerEntry,
		localAddress: plan.localAddress,
	});
	const {entries, seed} = plan;
	const balancer = new Balancer({entries, agent, seed});
	await balancer.start();
	const caller = new Caller({plan, balancer, agent});
	const records = await sendAll(plan, caller, onRecord);
	balancer.stop();
	await agent.destroy();
	writeHistory(plan, records);
	return records;
}

async function sendAll(
	plan: LoadPlan,
	caller: Caller,
	onRecord: CallRecordListener,
): Promise<readonly CallRecord[]> {
	const records: CallRecord[] = [];
	const startMs = performance.now();
	const pendingCalls: Array<Promise<void>> = [];
	for (const call of drawArrivals(plan)) {
		const dueAtMs = startMs + call.dueMs;
		while (performance.now() < dueAtMs) {
			await sleep(tickMs);
		}

		pendingCalls.push(
			caller.call(call, dueAtMs).then((attempts) => {
				for (const record of attempts) {
					records.push(record);
					onRecord(record);
				}
			}),
		);
	}

	await Promise.all(pendingCalls);
	return records;
}

function writeHistory(plan: LoadPlan, records: readonly CallRecord[]): void {
	if (plan.historyFile !== undefined) {
		const lines = records.map((record) => `${JSON.stringify(record)}\n`);
		fs.writeFileSync(plan.historyFile, lines.join(''));
	}
}

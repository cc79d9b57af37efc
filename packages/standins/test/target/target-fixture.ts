/** Test fixture: one simulated target on its own IP addresses. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {makeSeededRandom, systemClock} from '@bilberryscale/core';
import {Agent, request, type Dispatcher} from 'undici';
import {
	AddressPlan,
	getDeploymentOrThrow,
	readRunLog,
	RunLog,
	SimulatedTarget,
	type RunRecord,
} from '../../src/index.js';

/** A listening target, a client and the run log of the target. */
export type TargetFixture = {
	readonly target: SimulatedTarget;
	readonly url: string;
	readonly callerAddress: string;
	readonly send: (
		path: string,
		options?: Partial<Dispatcher.RequestOptions>,
	) => Promise<Dispatcher.ResponseData>;
	readonly readRuns: () => RunRecord[];
};

const serviceTimeMs = 20;

/**
 * Runs a test with a target that has one slot and a queue for one request.
 *
 * @param body - The body of the test.
 */
export async function withTarget(
	body: (fixture: TargetFixture) => Promise<void>,
): Promise<void> {
	const plan = await AddressPlan.claim();
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'target-'));
	const logFile = path.join(folder, 'runs.jsonl');
	const [location] = plan.getTargetLocations(getDeploymentOrThrow('mongolia'));
	const target = new SimulatedTarget({
		location: location!,
		slots: 1,
		queueLength: 1,
		connections: 10,
		coldAllowance: 1,
		serviceTimeMs,
		spread: 0,
		delayMs: 0,
		newConnectionMs: 0,
		random: makeSeededRandom(1),
		clock: systemClock,
		log: new RunLog(logFile),
	});
	await target.listen();
	const agent = new Agent({localAddress: plan.callers});
	const url = `http://${location!.address}:${location!.port}`;
	const send: TargetFixture['send'] = async (pathName, options) =>
		request(`${url}${pathName}`, {
			dispatcher: agent,
			headers: {'x-request-id': pathName.slice(1)},
			...options,
		});
	try {
		const callerAddress = plan.callers;
		const readRuns = () => readRunLog(logFile);
		await body({target, url, callerAddress, send, readRuns});
	} finally {
		target.close();
		await agent.destroy();
		plan.release();
		fs.rmSync(folder, {recursive: true});
	}
}

import {setTimeout as sleep} from 'node:timers/promises';
import {getDeploymentOrThrow} from '@bilberryscale/standins';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	checkHistory,
	makeFaultTestLoad,
	RecordedRun,
	defaultRetryPolicy,
	type History,
} from '../../src/index.js';

const entryCount = 3;
const seed = 11;
const leadInMs = 1000;
const deployment = getDeploymentOrThrow('mongolia');

async function recordRun(
	loadMs: number,
	injectFaults: (run: RecordedRun) => Promise<void>,
): Promise<History> {
	const run = await RecordedRun.start({deployment, entryCount, seed});
	await run.startLoad(makeFaultTestLoad(loadMs, seed, defaultRetryPolicy));
	await sleep(leadInMs);
	await injectFaults(run);
	return run.finish();
}

function assertNoViolations(history: History): void {
	const violations = checkHistory(history);
	assert.equal(
		violations.map(({rule, detail}) => `${rule}: ${detail}`).slice(0, 5),
		[],
	);
	assert.ok(history.calls.some(({status}) => status === 200));
}

describe('faults injected into real processes', () => {
	it('loses no response while every host is replaced in turn', async () => {
		const history = await recordRun(12_000, async (run) => {
			for (const location of run.cluster.entries) {
				await run.replaceHost(location);
			}
		});
		assert.is(history.shutdowns.length, entryCount);
		assertNoViolations(history);
	});

	it('runs nothing twice when a host is killed', async () => {
		const history = await recordRun(5000, async (run) => {
			await run.killHost(run.cluster.entries[0]!, 500);
		});
		assertNoViolations(history);
	});

	it('runs nothing twice when a host is suspended and resumed', async () => {
		const history = await recordRun(7000, async (run) => {
			await run.suspendHost(run.cluster.entries[0]!, 4000);
		});
		assertNoViolations(history);
	});

	it('stops requests to a drained data centre and keeps serving', async () => {
		const history = await recordRun(11_000, async (run) => {
			run.rollOutBundle(['west']);
			await sleep(8000);
			run.rollOutBundle();
		});
		assertNoViolations(history);
	});

	it('keeps serving while the platform is down', async () => {
		const history = await recordRun(5000, async (run) => {
			await run.disruptPlatform('down', 3000);
		});
		const failedReads = history.calls.filter(
			({method, status}) => method === 'GET' && status !== 200,
		);
		assert.equal(failedReads, []);
		assertNoViolations(history);
	});
});

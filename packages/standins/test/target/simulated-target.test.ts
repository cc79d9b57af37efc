import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {TargetBehaviour} from '../../src/index.js';
import {withTarget, type TargetFixture} from './target-fixture.js';

type Send = TargetFixture['send'];

const silenceMs = 200;
const idleMs = 20;

async function getStatus(
	pendingResponse: ReturnType<Send>,
): Promise<number | string> {
	try {
		const {statusCode, headers, body} = await pendingResponse;
		await body.text();
		return (headers['x-run-state'] as string | undefined) ?? statusCode;
	} catch (error) {
		return (error as Error).name;
	}
}

async function isSilent(send: Send): Promise<boolean> {
	const signal = AbortSignal.timeout(silenceMs);
	return (await getStatus(send('/silent', {signal}))) === 'TimeoutError';
}

describe('SimulatedTarget', () => {
	const doTest = async (
		change: Partial<TargetBehaviour>,
		expected: number | string,
	) =>
		withTarget(async ({target, send}) => {
			target.setBehaviour(change);
			assert.is(await getStatus(send('/one')), expected);
		});

	it('serves requests by default', async () => doTest({}, 200));

	it('refuses requests as not run while draining', async () =>
		doTest({isDraining: true}, 'not-run'));

	it('closes the connection in the middle of a response', async () =>
		doTest({brokenAnswerShare: 1}, 'SocketError'));

	it('refuses requests beyond its slots and its queue', async () =>
		withTarget(async ({send, readRuns}) => {
			const states = await Promise.all(
				['/a', '/b', '/c'].map(async (path) => getStatus(send(path))),
			);
			assert.equal(states.map(String).toSorted(), ['200', '200', 'not-run']);
			const begun = readRuns().filter(({event}) => event === 'begin');
			assert.is(begun.length, 2);
		}));

	it('does not start queued requests that are cancelled or past their deadline', async () =>
		withTarget(async ({send, target}) => {
			const controller = new AbortController();
			const first = getStatus(send('/first'));
			await sleep(5);
			const second = getStatus(send('/gone', {signal: controller.signal}));
			await sleep(5);
			controller.abort();
			await Promise.all([first, second]);
			target.setBehaviour({slowdown: 10});
			const third = getStatus(send('/third'));
			await sleep(5);
			const headers = {'x-request-timeout-ms': '10'};
			assert.is(await getStatus(send('/late', {headers})), 'not-run');
			await third;
			const {begun, withdrawn, refused} = target.counters;
			assert.equal(
				{begun, withdrawn, refused},
				{
					begun: 2,
					withdrawn: 1,
					refused: 1,
				},
			);
		}));

	it('crashes on a crash request and restarts with a new boot ID', async () =>
		withTarget(async ({send, target, readRuns}) => {
			target.setBehaviour({restartMs: 50});
			const before = await send('/one');
			await before.body.text();
			assert.is(await getStatus(send('/crash')), 'Error');
			await sleep(silenceMs);
			const after = await send('/two');
			await after.body.text();
			assert.is.not(after.headers['x-boot-id'], before.headers['x-boot-id']);
			assert.ok(target.counters.isCold);
			assert.equal(
				readRuns()
					.filter(({requestId}) => requestId === 'crash')
					.map(({event}) => event),
				['begin', 'crash'],
			);
		}));

	it('does not respond on silenced connections while new ones work', async () =>
		withTarget(async ({send, target}) => {
			await getStatus(send('/one'));
			await sleep(idleMs);
			await target.performAction({kind: 'silence-open-connections'});
			assert.ok(await isSilent(send));
			assert.is(await getStatus(send('/new')), 200);
		}));

	it('refuses connections after a kill until it is started', async () =>
		withTarget(async ({send, target}) => {
			await target.performAction({kind: 'kill'});
			assert.is(await getStatus(send('/one')), 'Error');
			await target.performAction({kind: 'start'});
			assert.is(await getStatus(send('/two')), 200);
		}));

	it('receives no requests from a partitioned source', async () =>
		withTarget(async ({send, target, callerAddress, readRuns}) => {
			const link = {source: callerAddress, isCut: true, delayMs: 0};
			target.setBehaviour({links: [link]});
			assert.ok(await isSilent(send));
			target.setBehaviour({links: []});
			assert.is(await getStatus(send('/healed')), 200);
			assert.not(readRuns().some(({requestId}) => requestId === 'silent'));
		}));

	it('reports a frozen load', async () =>
		withTarget(async ({send, target}) => {
			target.setBehaviour({loadReporting: 'frozen', slowdown: 5});
			const running = getStatus(send('/one'));
			await sleep(20);
			const response = await send('/-/load');
			const {inFlight} = (await response.body.json()) as {inFlight: number};
			assert.is(inFlight, 0);
			await running;
			assert.is(target.counters.loadCalls, 1);
		}));
});

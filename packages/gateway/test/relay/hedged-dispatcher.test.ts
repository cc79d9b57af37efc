import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	makeId,
	makeSeededRandom,
	ManualClock,
	type Digest,
	type RequestId,
} from '@bilberryscale/core';
import {
	Connection,
	Exchange,
	getRequestSignature,
} from '@bilberryscale/daemon/edge';
import {CrashSuspects} from '@bilberryscale/decisions';
import {describe, it} from '@bilberryscale/testing';
import {Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {ShortageDetector} from '../../src/capacity/shortage-detector.js';
import type {PickedTarget} from '../../src/choice/target-picker.js';
import {HedgeBudget} from '../../src/hedging/hedge-budget.js';
import {HedgePolicy} from '../../src/hedging/hedge-policy.js';
import {loadHistogram} from '../../src/hedging/load-histogram.js';
import {RouteQuantiles} from '../../src/hedging/route-quantiles.js';
import type {HedgeRecord} from '../../src/records/request-recorder.js';
import type {AttemptResult} from '../../src/relay/attempt-result.js';
import {
	HedgedDispatcher,
	type SentCopies,
} from '../../src/relay/hedged-dispatcher.js';
import type {RoutedRequest} from '../../src/relay/request-reader.js';
import {ServiceTimes} from '../../src/relay/service-times.js';
import {ConnectionPool} from '../../src/targets/connection-pool.js';
import {TargetState} from '../../src/targets/target-state.js';
import {makeRegisteredTarget, makeRoute, reading} from '../fixtures.js';

const makeHistogram = await loadHistogram();
const serviceTimeMs = 100;
const origin = 'http://127.0.0.1:9';
const localAddress = '127.0.0.1';

const answered: AttemptResult = {
	kind: 'answered',
	answer: {status: 200, headers: {}, body: Buffer.from('ok')},
};
const refused: AttemptResult = {kind: 'refused', status: 503};
const broken: AttemptResult = {
	kind: 'failed',
	cause: 'broken',
	mayHaveRun: true,
	detail: 'the connection broke',
};
const superseded: AttemptResult = {
	kind: 'failed',
	cause: 'superseded',
	mayHaveRun: true,
	detail: 'superseded',
};

function makePicked(clock: ManualClock, id: string): PickedTarget {
	const state = new TargetState({
		registration: makeRegisteredTarget(id),
		pool: new ConnectionPool({
			clock,
			origin,
			localAddress,
			getMaxSize: () => 1,
		}),
		nowMs: 0,
	});
	const connection = new Connection({origin, localAddress});
	const figures = {
		probedCount: 1,
		waitedMs: 1,
		load: 0,
		warmUpPermit: undefined,
	};
	return {state, connection, expectedMs: serviceTimeMs, ...figures};
}

function makeRequest(isIdempotent: boolean): RoutedRequest {
	return {
		exchange: new Exchange({
			requestId: makeId<RequestId>('r-1'),
			method: 'GET',
			url: '/a/x',
			headers: {host: 'a.example'},
			body: Readable.from([]),
			receivedAtMs: 0,
			signal: new AbortController().signal,
		}),
		route: makeRoute({isIdempotent}),
		service: reading,
		deadlineMs: 1_000_000,
		body: undefined,
		isReturning: false,
		elapsedMs: 0,
		priority: 1,
	};
}

async function settle(): Promise<void> {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}

type Attempt = {
	readonly number: number;
	readonly secureRetry: () => Promise<boolean>;
	readonly end: (result: AttemptResult) => void;
};

/** A dispatcher whose attempts end as the test says, after 100 answers in 100 ms each. */
function makeDispatcher({isIdempotent = true, hasTarget = true} = {}) {
	const clock = new ManualClock();
	const quantiles = new RouteQuantiles({clock, makeHistogram});
	const ranksWithoutSlots = new Set<number>();
	const shortageDetector = new ShortageDetector({
		clock,
		getOpenTargets: () => [],
	});
	const serviceTimes = new ServiceTimes();
	const crashSuspects = new CrashSuspects();
	const attempts: Attempt[] = [];
	const obstacles: string[] = [];
	const records: HedgeRecord[] = [];
	const request = makeRequest(isIdempotent);
	const first = makePicked(clock, 'first');
	const dispatcher = new HedgedDispatcher({
		clock,
		dispatcher: {
			async send(_request, _picked, number, {secureRetry, supersededSignal}) {
				return new Promise<AttemptResult>((resolve) => {
					attempts.push({number, secureRetry, end: resolve});
					supersededSignal?.addEventListener('abort', () => {
						resolve(superseded);
					});
				});
			},
		},
		policy: new HedgePolicy({limit: 0.2, quantiles}),
		makeBudget: () =>
			new HedgeBudget({limit: 0.2, random: makeSeededRandom(1)}),
		targetPicker: {
			async pick(_request, {isNeeded, claim}) {
				return hasTarget && isNeeded() && claim()
					? makePicked(clock, 'second')
					: undefined;
			},
		},
		shortageDetector,
		capacity: {isShort: (_service, rank) => ranksWithoutSlots.has(rank)},
		serviceTimes,
		crashSuspects,
		accountCheck: {recheck: (checked) => Ok(checked)},
		recorder: {
			recordHedgeSent: () => undefined,
			recordHedgeObstacle(_exchange, reason) {
				obstacles.push(reason);
			},
			recordHedge(_exchange, record) {
				records.push(record);
			},
		},
		isShuttingDown: () => false,
	});
	for (let index = 0; index < 100; index++) {
		quantiles.add(request.route.name, serviceTimeMs);
		serviceTimes.add(request.route.name, serviceTimeMs);
		dispatcher.addRequest(reading);
	}

	const results: SentCopies[] = [];
	let retriesTaken = 0;
	/** Sends the request and lets the time pass after which a hedge is due. */
	const send = async (executions = 0) => {
		void (async () => {
			results.push(
				await dispatcher.send(request, first, {
					attempt: executions + 1,
					executions,
					triedTargets: new Set([first.state.registration.id]),
					secureRetry: async () => true,
					canTakeRetry: () => true,
					takeRetry() {
						retriesTaken++;
						return true;
					},
				}),
			);
		})();

		clock.advance(105);
		await settle();
	};

	return {
		clock,
		request,
		first,
		shortageDetector,
		ranksWithoutSlots,
		crashSuspects,
		attempts,
		obstacles,
		records,
		results,
		send,
		getRetriesTaken: () => retriesTaken,
	};
}

describe('HedgedDispatcher', () => {
	it('sends a second copy out of the retry budget, and returns the good answer at once', async () => {
		const context = makeDispatcher();
		await context.send();
		assert.equal(
			context.attempts.map(({number}) => number),
			[1, 2],
		);
		assert.is(context.getRetriesTaken(), 1);
		context.attempts[1]!.end(answered);
		await settle();
		assert.equal(context.results, [
			[{target: 'second', result: answered, durationMs: 0}],
		]);
		const [record] = context.records;
		assert.is(record?.winner, 'second');
		assert.is(record?.wastedMs, 105);
		assert.ok(
			context.first.state.getFailureRate(context.clock.monotonicMs()) > 0,
		);
	});

	it('returns both copies if both fail, so that a possible run is not forgotten', async () => {
		const context = makeDispatcher();
		await context.send();
		context.attempts[0]!.end(broken);
		await settle();
		assert.equal(context.results, []);
		context.attempts[1]!.end(refused);
		await settle();
		const kinds = context.results[0]?.map(({result}) => result.kind);
		assert.equal(new Set(kinds), new Set(['failed', 'refused']));
		assert.is(context.records[0]?.winner, undefined);
	});

	it('lets a stalled first copy be cancelled again once the second has failed', async () => {
		const context = makeDispatcher();
		await context.send();
		assert.is(await context.attempts[0]!.secureRetry(), false);
		context.attempts[1]!.end(refused);
		await settle();
		assert.is(await context.attempts[0]!.secureRetry(), true);
	});

	function doTestObstacle(
		name: string,
		prepare: (context: ReturnType<typeof makeDispatcher>) => void,
		expected: string,
	): void {
		it(`sends no second copy ${name}`, async () => {
			const context = makeDispatcher();
			prepare(context);
			await context.send();
			assert.is(context.attempts.length, 1);
			assert.equal(context.obstacles, [expected]);
		});
	}

	doTestObstacle(
		'while the service is short of capacity',
		({shortageDetector}) => {
			shortageDetector.addRefusal(reading);
		},
		'short-of-capacity',
	);
	doTestObstacle(
		'into slots that are left free for more urgent requests',
		({ranksWithoutSlots, request}) => {
			ranksWithoutSlots.add(request.priority);
		},
		'short-of-capacity',
	);
	doTestObstacle(
		'of a request that a crash has followed',
		({crashSuspects, request}) => {
			const signature: Digest = getRequestSignature(request.exchange);
			const isConfirmed = () => false;
			crashSuspects.addIncident(signature, {
				incarnation: 'a@1',
				atMs: 0,
				isConfirmed,
			});
		},
		'crash-suspect',
	);

	it('sends no second copy beyond the attempts of the route', async () => {
		const context = makeDispatcher();
		await context.send(1);
		assert.is(context.attempts.length, 1);
		assert.equal(context.obstacles, ['attempts-used']);
	});

	it('sends no second copy without a suitable target', async () => {
		const context = makeDispatcher({hasTarget: false});
		await context.send();
		assert.equal(context.obstacles, ['no-target']);
		assert.is(context.getRetriesTaken(), 0);
	});

	it('sends no second copy of a request that may not run twice', async () => {
		const context = makeDispatcher({isIdempotent: false});
		await context.send();
		assert.is(context.attempts.length, 1);
		assert.equal(context.obstacles, []);
	});

	it('sends no more second copies than there are permits', async () => {
		const context = makeDispatcher();
		for (let index = 0; index < 20; index++) {
			await context.send();
			for (const {end} of context.attempts) {
				end(answered);
			}

			await settle();
		}

		const hedgeCount = context.attempts.filter(
			({number}) => number === 2,
		).length;
		// 100 requests at 0.35 of a limit of 0.2.
		assert.ok(hedgeCount <= 8 && hedgeCount >= 6, String(hedgeCount));
		assert.ok(context.obstacles.includes('limit'));
	});
});

/** Measures what one decision costs as the targets of a service grow. */

import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {parseBundle} from '@bilberryscale/bundle';
import {
	makeId,
	makeSeededRandom,
	type DataCentreId,
	type RequestId,
} from '@bilberryscale/core';
import {
	singleHostFleet,
	makeSelectionPolicy,
	ServiceDispatcher,
	type Call,
} from '@bilberryscale/decisions';
import {stringify} from 'smol-toml';
import {getBenchBundle} from '../processes/bench-bundle.js';

const targetCounts = [6, 15, 30, 94, 200];
const warmUpCalls = 50_000;
const calls = 200_000;
const usPerMs = 1000;
const port = 8100;

for (const count of targetCounts) {
	const us = measureDecisionUs(count);
	process.stdout.write(`${count} targets: ${us.toFixed(2)} µs a call\n`);
}

function measureDecisionUs(count: number): number {
	const dispatcher = makeDispatcher(count);
	runCalls(dispatcher, warmUpCalls);
	const startMs = performance.now();
	runCalls(dispatcher, calls);
	return ((performance.now() - startMs) * usPerMs) / calls;
}

function makeDispatcher(count: number): ServiceDispatcher {
	const addresses = Array.from(
		{length: count},
		(_, index) => `127.0.0.${1 + index}`,
	);
	const size = {services: 1, targets: count, servedTargets: count};
	const text = stringify(getBenchBundle(size, addresses, port));
	const bundle = parseBundle(text, 'bench').unwrap();
	const dispatcher = new ServiceDispatcher({
		...bundle,
		service: bundle.services[0]!,
		dataCentre: makeId<DataCentreId>('east'),
		chooseTarget: makeSelectionPolicy('least-cost-3'),
		random: makeSeededRandom(1),
		audit: () => undefined,
		nowMs: 0,
	});
	dispatcher.setFleet(singleHostFleet, 0);
	return dispatcher;
}

/** Decides and ends calls, one at a time. */
function runCalls(dispatcher: ServiceDispatcher, total: number): void {
	for (let index = 0; index < total; index++) {
		const nowMs = index / 10;
		const {decision} = dispatcher.offer(makeCall(dispatcher, nowMs), nowMs);
		if (decision.kind === 'grant') {
			const outcome = {kind: 'served', latencyMs: 5} as const;
			dispatcher.finish(decision.target, outcome, nowMs);
		}
	}
}

function makeCall({service}: ServiceDispatcher, nowMs: number): Call {
	return {
		requestId: makeId<RequestId>('bench'),
		callerClass: service.classes[0]!.name,
		isIdempotent: true,
		deadlineMs: nowMs + 1000,
		triedTargets: [],
	};
}

/** Measures how long one dispatch decision takes, for services with different numbers of targets. */

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
import {makeBenchBundle} from '../processes/bench-bundle.js';

const targetCounts = [6, 15, 30, 94, 200];
const warmUpCalls = 50_000;
const measuredCalls = 200_000;
const usPerMs = 1000;
const port = 8100;

for (const targetCount of targetCounts) {
	const decisionUs = measureDecisionUs(targetCount);
	process.stdout.write(
		`${targetCount} targets: ${decisionUs.toFixed(2)} µs a call\n`,
	);
}

function measureDecisionUs(targetCount: number): number {
	const dispatcher = makeDispatcher(targetCount);
	runCalls(dispatcher, warmUpCalls);
	const startMs = performance.now();
	runCalls(dispatcher, measuredCalls);
	return ((performance.now() - startMs) * usPerMs) / measuredCalls;
}

function makeDispatcher(targetCount: number): ServiceDispatcher {
	const addresses = Array.from(
		{length: targetCount},
		(_, index) => `127.0.0.${1 + index}`,
	);
	const size = {
		services: 1,
		targets: targetCount,
		calledServiceTargets: targetCount,
	};
	const text = stringify(makeBenchBundle(size, addresses, port));
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

/** Dispatches and finishes calls one at a time. */
function runCalls(dispatcher: ServiceDispatcher, callCount: number): void {
	for (let index = 0; index < callCount; index++) {
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

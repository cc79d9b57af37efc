import fs from 'node:fs';
import {
	makeId,
	ManualClock,
	notRun,
	type ErrorKind,
	type RequestId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {counterNames, gaugeNames} from '../../src/metrics/metric-names.js';
import {Metrics} from '../../src/metrics/metrics.js';
import type {EndedCall} from '../../src/pipeline/filters/record.js';

function makeCall(
	durationMs: number,
	sends: number,
	kind?: ErrorKind,
): EndedCall {
	return {
		record: {
			requestId: makeId<RequestId>('r-1'),
			endedAt: new Date(0),
			sends,
			service: undefined,
			method: 'GET',
			isIdempotent: true,
			hasKey: false,
			isOrdinary: true,
			outcome: '',
			durationMs,
			decisions: [],
		},
		failure: kind === undefined ? undefined : notRun(kind, ''),
	};
}

type Expected = {
	readonly name: string;
	readonly value: number | undefined;
};

function makeFixture() {
	const clock = new ManualClock();
	const sentMetrics = new Map<string, number>();
	const metrics = new Metrics({
		clock,
		sink: {
			incrementCounter: (name, value) => sentMetrics.set(name, value),
			setGauge: (name, value) => sentMetrics.set(name, value),
			close: () => undefined,
		},
		getBundleVersion: () => 7,
		isReady: () => true,
	});
	return {clock, metrics, sentMetrics};
}

describe('Metrics', () => {
	const doTest = (
		calls: readonly EndedCall[],
		expected: readonly Expected[],
	) => {
		const {clock, metrics, sentMetrics} = makeFixture();
		metrics.start();
		for (const call of calls) {
			metrics.addCall(call);
		}

		assert.is(sentMetrics.size, 0);
		clock.advance(10_000);
		for (const {name, value} of expected) {
			assert.is(sentMetrics.get(name), value, name);
		}

		metrics.stop();
	};

	it('counts requests by their outcome', () => {
		doTest(
			[makeCall(1, 1), makeCall(1, 3), makeCall(1, 0, 'over-capacity')],
			[
				{name: 'calls.answered', value: 2},
				{name: 'calls.sent_again', value: 2},
				{name: 'calls.refused', value: 1},
				{name: 'calls.refused.over-capacity', value: 1},
				{name: 'calls.refused.no-target', value: undefined},
			],
		);
	});

	it('sends the state of the host even without requests', () => {
		doTest(
			[],
			[
				{name: 'bundle.version', value: 7},
				{name: 'host.ready', value: 1},
				{name: 'calls.duration_max_ms', value: undefined},
			],
		);
	});

	it('resets counters and durations after each flush', () => {
		const {metrics, sentMetrics} = makeFixture();
		metrics.addCall(makeCall(4, 1));
		metrics.flush();
		assert.ok(Math.abs(sentMetrics.get('calls.duration_max_ms')! - 4) < 0.1);
		sentMetrics.clear();
		metrics.flush();
		assert.is(sentMetrics.get('calls.answered'), undefined);
	});

	it('counts audit events', () => {
		const {metrics, sentMetrics} = makeFixture();
		metrics.addAuditEvent({kind: 'bundle-conflict', subject: '', cause: ''});
		metrics.flush();
		assert.is(sentMetrics.get('bundle.conflicts'), 1);
		assert.is(sentMetrics.get('audit.records'), 1);
	});
});

describe('documentation of the metrics', () => {
	const page = fs.readFileSync(
		new URL('../../../../docs/operators/reading.md', import.meta.url),
		'utf8',
	);

	it('lists every metric', () => {
		for (const name of [
			...counterNames,
			...gaugeNames,
			'calls.refused.<kind>',
		]) {
			assert.ok(page.includes(`\`${name}\``), name);
		}
	});
});

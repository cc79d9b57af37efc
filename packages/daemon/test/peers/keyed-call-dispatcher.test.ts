/** A keyed call runs at most once, also when it is sent again. */

import {Buffer} from 'node:buffer';
import {
	ManualClock,
	makeId,
	notRunFailure,
	type HostId,
	type IncarnationId,
	type RequestId,
} from '@bilberryscale/core';
import {defaultLeasePolicy} from '@bilberryscale/once';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {FleetView} from '../../src/peers/fleet-view.js';
import type {KeyedCall} from '../../src/peers/keyed-call.js';
import {KeyedCallDispatcher} from '../../src/peers/keyed-call-dispatcher.js';
import type {FilterResult} from '../../src/pipeline/exchange.js';

const host = makeId<HostId>('standalone');
const answer = Ok({status: 201, headers: {}, body: Buffer.from('done')});

function makeView(clock: ManualClock): FleetView {
	const view = new FleetView({
		self: {host, incarnation: makeId<IncarnationId>('standalone/1')},
		policy: defaultLeasePolicy,
		clock,
		audit: () => undefined,
		peerTimeoutMs: 5000,
		isStandalone: true,
		getBundleVersion: () => 1,
	});
	view.setPublishedHosts([
		{host, address: '127.0.0.1', port: 1, isLeaving: false},
	]);
	view.beginRound();
	clock.advance(10);
	return view;
}

function describeResult(result: FilterResult): string {
	return result.isOk()
		? String(result.value.status)
		: `${result.error.kind} ${result.error.ran}`;
}

describe('KeyedCallDispatcher', () => {
	const doTest = (
		name: string,
		run: () => Promise<FilterResult>,
		expected: readonly string[],
		expectedRuns: number,
	) => {
		it(name, async () => {
			const clock = new ManualClock();
			const view = makeView(clock);
			let runs = 0;
			const calls = new KeyedCallDispatcher({
				view,
				clock,
				network: undefined,
				async run() {
					runs++;
					return run();
				},
			});
			const call: KeyedCall = {
				requestId: makeId<RequestId>('r'),
				key: view.makeKey()!,
				isNew: true,
				method: 'POST',
				url: '/register/x',
				headers: {},
				body: Buffer.from('text'),
				deadlineMs: 5000,
			};
			const results = await Promise.allSettled([
				calls.serve(call),
				calls.serve(call),
			]);
			const third = await calls.serve(call);
			const seen = results.map((result) =>
				result.status === 'fulfilled' ? describeResult(result.value) : 'thrown',
			);
			assert.equal([...seen, describeResult(third)], expected);
			assert.is(runs, expectedRuns);
		});
	};

	doTest(
		'replays the first answer',
		async () => answer,
		['201', 'still-running unknown', '201'],
		1,
	);
	doTest(
		'runs a repeated call if the first one did not run',
		async () => Err(notRunFailure('no-target', 'none')),
		['no-target not-run', 'still-running unknown', 'no-target not-run'],
		2,
	);
	doTest(
		'never repeats a call that may have run',
		async () => {
			throw new Error('broken');
		},
		['thrown', 'still-running unknown', 'outcome-unknown unknown'],
		1,
	);
});

/** A fleet of one host, for tests of the pipeline. */

import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {usualPolicy} from '@bilberryscale/once';
import {FleetView} from '../../src/peers/fleet-view.js';
import {KeyedCalls} from '../../src/peers/keyed-calls.js';
import {runKeyedCall} from '../../src/peers/run-keyed-call.js';
import type {AtMostOnceOptions} from '../../src/pipeline/filters/at-most-once.js';
import {
	makeKeyedCallPipeline,
	type PipelineDependencies,
} from '../../src/pipeline/call-pipeline.js';

/**
 * Makes the keyed calls of a host that holds every bucket.
 *
 * @param parts - What the filters work with.
 * @returns The view and the calls.
 */
export function makeLoneFleet(parts: PipelineDependencies): AtMostOnceOptions {
	const {clock} = parts;
	const host = makeId<HostId>('alone');
	const view = new FleetView({
		self: {host, incarnation: makeId<IncarnationId>('alone/1')},
		policy: {...usualPolicy, leaseMs: 600_000},
		clock,
		audit: () => undefined,
		silenceMs: 600_000,
		isAlone: true,
		getBundleVersion: () => 1,
	});
	view.setPublished([{host, address: '127.0.0.1', port: 1, isLeaving: false}]);
	view.beginRound();
	const pipeline = makeKeyedCallPipeline(parts);
	const calls = new KeyedCalls({
		view,
		clock,
		network: undefined,
		run: async (call) => runKeyedCall(call, pipeline, clock),
	});
	return {view, calls};
}

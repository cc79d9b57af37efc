/** A fleet of one host, for tests of the pipeline. */

import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {usualPolicy} from '@bilberryscale/once';
import {FleetView} from '../../src/peers/fleet-view.js';
import {KeyedCallDispatcher} from '../../src/peers/keyed-call-dispatcher.js';
import {runKeyedCall} from '../../src/peers/run-keyed-call.js';
import type {AtMostOnceOptions} from '../../src/pipeline/filters/at-most-once.js';
import {
	makeKeyedCallPipeline,
	type PipelineDependencies,
} from '../../src/pipeline/call-pipeline.js';

/**
 * Makes the keyed calls of a host that holds every bucket.
 *
 * @param dependencies - The dependencies of the pipeline's filters.
 * @returns The view of the fleet and the keyed calls.
 */
export function makeSingleHostFleet(
	dependencies: PipelineDependencies,
): AtMostOnceOptions {
	const {clock} = dependencies;
	const host = makeId<HostId>('alone');
	const view = new FleetView({
		self: {host, incarnation: makeId<IncarnationId>('alone/1')},
		policy: {...usualPolicy, leaseMs: 600_000},
		clock,
		audit: () => undefined,
		peerTimeoutMs: 600_000,
		isStandalone: true,
		getBundleVersion: () => 1,
	});
	view.setPublishedHosts([
		{host, address: '127.0.0.1', port: 1, isLeaving: false},
	]);
	view.beginRound();
	const pipeline = makeKeyedCallPipeline(dependencies);
	const calls = new KeyedCallDispatcher({
		view,
		clock,
		network: undefined,
		run: async (call) => runKeyedCall(call, pipeline, clock),
	});
	return {view, calls};
}

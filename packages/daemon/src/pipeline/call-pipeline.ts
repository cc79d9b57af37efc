/** The pipelines that requests pass through, with the order of their filters. */

import type {AuditSink, Clock} from '@bilberryscale/core';
import {ShutdownLimit} from '../dispatch/shutdown-limit.js';
import type {TargetAllocator} from '../dispatch/target-allocator.js';
import type {ConnectionPools} from '../upstream/connection-pools.js';
import {makePipeline, type Filter, type Pipeline} from './filter.js';
import {
	makeAtMostOnceFilter,
	type AtMostOnceOptions,
} from './filters/at-most-once.js';
import {makeBlockCrashingFilter} from './filters/block-crashing.js';
import {makeIdentifyFilter} from './filters/identify.js';
import {makeReadBodyFilter} from './filters/read-body.js';
import {makeRecordCrashesFilter} from './filters/record-crashes.js';
import {
	makeRecordFilter,
	makeRecordAttemptFilter,
	type EndedCall,
} from './filters/record.js';
import {
	makeMeasureFilter,
	makeRefuseLateFilter,
} from './filters/refuse-late.js';
import {makeRetryFilter} from './filters/retry.js';
import {makeSendFilter} from './filters/send.js';

/** The dependencies of the filters. */
export type PipelineDependencies = {
	readonly allocator: TargetAllocator;
	readonly pools: ConnectionPools;
	readonly clock: Clock;
	readonly audit: AuditSink;
	/** How long a caller may pause while it sends a body, in milliseconds. */
	readonly bodyIdleMs: number;
	/** Gets when open requests are ended because the host shuts down, on the monotonic clock, in milliseconds; infinite before. */
	readonly getShutdownMs: () => number;
	/** Called once for each request when it ends. */
	readonly onEnded: (call: EndedCall) => void;
};

/**
 * Makes the pipeline for requests from callers.
 *
 * @remarks It records and identifies the request, refuses it if it is too late for it, reads its body, forwards a
 * non-idempotent request to the owner of its key, and sends the others itself.
 * @param dependencies - The dependencies of the filters.
 * @param atMostOnce - The dependencies of the filter for non-idempotent requests.
 * @returns The pipeline.
 */
export function makeCallPipeline(
	dependencies: PipelineDependencies,
	atMostOnce: AtMostOnceOptions,
): Pipeline {
	const {allocator, clock, bodyIdleMs, onEnded} = dependencies;
	const limit = new ShutdownLimit(dependencies);
	return makePipeline([
		makeRecordFilter({clock, onEnded}),
		makeIdentifyFilter(allocator),
		makeRefuseLateFilter(limit),
		makeReadBodyFilter({clock, idleMs: bodyIdleMs}),
		makeRefuseLateFilter(limit),
		makeMeasureFilter(limit, clock),
		makeAtMostOnceFilter(atMostOnce),
		...makeAttemptFilters(dependencies),
	]);
}

/**
 * Makes the pipeline that the owner of a key runs.
 *
 * @remarks The request body must already be in the exchange.
 * @param dependencies - The dependencies of the filters.
 * @returns The pipeline.
 */
export function makeKeyedCallPipeline(
	dependencies: PipelineDependencies,
): Pipeline {
	const {allocator, clock, onEnded} = dependencies;
	const limit = new ShutdownLimit(dependencies);
	return makePipeline([
		makeRecordFilter({clock, onEnded}),
		makeIdentifyFilter(allocator),
		makeRefuseLateFilter(limit),
		makeMeasureFilter(limit, clock),
		...makeAttemptFilters(dependencies),
	]);
}

function makeAttemptFilters(dependencies: PipelineDependencies): Filter[] {
	const {allocator, pools, clock, audit} = dependencies;
	const {suspects} = allocator;
	return [
		makeBlockCrashingFilter({suspects, clock, audit}),
		makeRetryFilter({allocator, clock}),
		makeRecordAttemptFilter(clock),
		makeRecordCrashesFilter({suspects, clock}),
		makeSendFilter({allocator, pools, clock}),
	];
}

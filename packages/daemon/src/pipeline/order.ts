/** The order of the filters: the whole way of a call stands here. */

import type {AuditSink, Clock} from '@bilberryscale/core';
import type {CallDesk} from '../dispatch/call-desk.js';
import type {ConnectionPools} from '../upstream/connection-pools.js';
import {makePipeline, type Filter, type Pipeline} from './filter.js';
import {
	makeAtMostOnceFilter,
	type AtMostOnceOptions,
} from './filters/at-most-once.js';
import {makeAttemptFilter} from './filters/attempt.js';
import {makeBarCrashingFilter} from './filters/bar-crashing.js';
import {makeIdentifyFilter} from './filters/identify.js';
import {makeNoteCrashesFilter} from './filters/note-crashes.js';
import {makeReadBodyFilter} from './filters/read-body.js';
import {
	makeRecordFilter,
	makeRecordSendFilter,
	type EndedCall,
} from './filters/record.js';
import {makeSendFilter} from './filters/send.js';

/** What the filters work with. */
export type PipelineParts = {
	readonly desk: CallDesk;
	readonly pools: ConnectionPools;
	readonly clock: Clock;
	readonly audit: AuditSink;
	/** How long a caller may send nothing of a body, in milliseconds. */
	readonly bodyIdleMs: number;
	/** Takes each call at its end. */
	readonly onEnded: (call: EndedCall) => void;
};

/**
 * Makes the way of a call: record, identify, read the body, find the home of a key, take a target, record, send.
 *
 * @param parts - What the filters work with.
 * @param fleet - Runs the calls that have a key.
 * @returns The way.
 */
export function makeCallPipeline(
	parts: PipelineParts,
	fleet: AtMostOnceOptions,
): Pipeline {
	const {desk, clock, bodyIdleMs, onEnded} = parts;
	return makePipeline([
		makeRecordFilter({clock, onEnded}),
		makeIdentifyFilter(desk),
		makeReadBodyFilter({clock, idleMs: bodyIdleMs}),
		makeAtMostOnceFilter(fleet),
		...makeRunFilters(parts),
	]);
}

/**
 * Makes the way of a call at the home of its key, where its body is at hand.
 *
 * @param parts - What the filters work with.
 * @returns The way.
 */
export function makeKeyedPipeline(parts: PipelineParts): Pipeline {
	const {desk, clock, onEnded} = parts;
	return makePipeline([
		makeRecordFilter({clock, onEnded}),
		makeIdentifyFilter(desk),
		...makeRunFilters(parts),
	]);
}

function makeRunFilters(parts: PipelineParts): Filter[] {
	const {desk, pools, clock, audit} = parts;
	const {suspects} = desk;
	return [
		makeBarCrashingFilter({suspects, clock, audit}),
		makeAttemptFilter({desk, clock}),
		makeRecordSendFilter(clock),
		makeNoteCrashesFilter({suspects, clock}),
		makeSendFilter({desk, pools, clock}),
	];
}

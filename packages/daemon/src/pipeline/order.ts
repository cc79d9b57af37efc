/** The order of the filters: the whole way of a call stands here. */

import type {AuditSink, Clock} from '@bilberryscale/core';
import type {CallDesk} from '../dispatch/call-desk.js';
import type {ConnectionPools} from '../upstream/connection-pools.js';
import {makePipeline, type Pipeline} from './filter.js';
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
 * Makes the way of a call: record, identify, read the body, take a target, record, send.
 *
 * @param parts - What the filters work with.
 * @returns The way.
 */
export function makeCallPipeline(parts: PipelineParts): Pipeline {
	const {desk, pools, clock, audit, bodyIdleMs, onEnded} = parts;
	const {suspects} = desk;
	return makePipeline([
		makeRecordFilter({clock, onEnded}),
		makeIdentifyFilter(desk),
		makeReadBodyFilter({clock, idleMs: bodyIdleMs}),
		makeBarCrashingFilter({suspects, clock, audit}),
		makeAttemptFilter({desk, clock}),
		makeRecordSendFilter(clock),
		makeNoteCrashesFilter({suspects, clock}),
		makeSendFilter({desk, pools, clock}),
	]);
}

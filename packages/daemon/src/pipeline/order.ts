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
import {makeSendFilter} from './filters/send.js';

/** What the filters work with. */
export type PipelineParts = {
	readonly desk: CallDesk;
	readonly pools: ConnectionPools;
	readonly clock: Clock;
	readonly audit: AuditSink;
	/** How long a caller may send nothing of a body, in milliseconds. */
	readonly bodyIdleMs: number;
};

/**
 * Makes the way of a call: identify, read the body, take a target, send.
 *
 * @param parts - What the filters work with.
 * @returns The way.
 */
export function makeCallPipeline(parts: PipelineParts): Pipeline {
	const {desk, pools, clock, audit, bodyIdleMs} = parts;
	const {suspects} = desk;
	return makePipeline([
		makeIdentifyFilter(desk),
		makeReadBodyFilter({clock, idleMs: bodyIdleMs}),
		makeBarCrashingFilter({suspects, clock, audit}),
		makeAttemptFilter({desk, clock}),
		makeNoteCrashesFilter({suspects, clock}),
		makeSendFilter({desk, pools, clock}),
	]);
}

/** Asks several targets of a service at once; requests that come together share the answers. */

import type {Clock} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {TargetInquiry} from './target-inquiry.js';

/** A round of questions. */
export type InquiryRoundOptions = {
	readonly states: readonly TargetState[];
	readonly healthPath: string;
	readonly protocol: TargetProtocol;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** How long to wait for slower answers once one is there, in milliseconds. */
const slowerAnswersMs = 12;
/** How long to wait for the first answer, in milliseconds. */
const firstAnswerMs = 130;

/**
 * Asks targets; their states hold the answers.
 *
 * @param options - Whom to ask.
 * @returns When all have answered, or no more answers are worth waiting for.
 */
export async function askTargets(options: InquiryRoundOptions): Promise<void> {
	const {states, clock} = options;
	await new Promise<void>((resolve) => {
		let openCount = states.length;
		let cancelSlower: (() => void) | undefined;
		const finish = () => {
			cancelFirst();
			cancelSlower?.();
			resolve();
		};

		const cancelFirst = clock.schedule(firstAnswerMs, finish);
		const onEnd = (inquiry: TargetInquiry) => {
			openCount--;
			if (openCount === 0) {
				finish();
			} else if (inquiry.hasAnswered) {
				cancelSlower ??= clock.schedule(slowerAnswersMs, finish);
			}
		};

		for (const state of states) {
			const inquiry = new TargetInquiry({...options, state, onEnd});
			inquiry.start();
			openCount -= inquiry.hasEnded ? 1 : 0;
		}

		if (openCount === 0) {
			finish();
		}
	});
}

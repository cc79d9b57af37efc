/** A target as this host sees it. */

import type {Target} from '@bilberryscale/bundle';
import type {LoadReport} from './load-report.js';
import type {Outcome} from './outcome.js';

const riseWeight = 0.5;
const fallWeight = 0.1;

/** The state of a target in this host; nothing here is shared. */
export class TargetState {
	/** What the bundle says of the target. */
	target: Target;
	/** The requests of this host that the target holds. */
	outstanding = 0;
	/** The moving average of the latency in milliseconds; 0 before the first. */
	latencyMs = 0;
	/** The newest report, if any. */
	report: LoadReport | undefined;

	/**
	 * @param target - What the bundle says of the target.
	 */
	constructor(target: Target) {
		this.target = target;
	}

	/** Counts a send that begins. */
	begin(): void {
		this.outstanding++;
	}

	/**
	 * Takes in the end of a send.
	 *
	 * @param outcome - How the send ended.
	 */
	end(outcome: Outcome): void {
		this.outstanding--;
		this.report = outcome.report ?? this.report;
		if (outcome.kind === 'served') {
			this.#averageLatency(outcome.latencyMs);
		}
	}

	#averageLatency(sampleMs: number): void {
		const weight = sampleMs > this.latencyMs ? riseWeight : fallWeight;
		this.latencyMs += weight * (sampleMs - this.latencyMs);
	}
}

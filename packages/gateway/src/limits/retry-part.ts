/** Determines which part of the retry budget's slack this host may use. */

import type {Clock} from '@bilberryscale/core';
import {
	discoveryMs,
	type HostAnnouncement,
} from '../fleet/host-announcement.js';
import type {HostDirectory} from '../fleet/host-directory.js';

/** This host's part of what all hosts share. */
export type RetryPart = {
	/** The number of hosts among which the slack is divided. */
	readonly hostCount: number;
	/** Whether this host may use a part of the slack, and not only what its requests have earned. */
	readonly hasSlack: boolean;
	/** Whether the window may hold retries of a previous run of this host, or hosts that do not know this one. */
	readonly isNew: boolean;
};

/** This host and what it knows of the others. */
export type RetryPartOptions = {
	readonly clock: Clock;
	/** Whether no host of the fleet can have run before. */
	readonly isFirstStart: boolean;
	readonly directory: Pick<HostDirectory, 'getHosts' | 'hasMajority'>;
	readonly announcement: Pick<HostAnnouncement, 'isComplete'>;
	/** Called when the part has changed. */
	readonly onChange: (part: RetryPart) => void;
};

/** Lower bound on the number of hosts assumed by one that may not know all. */
const minHostCount = 16;

/** Time for which a part is used before it is determined again, in milliseconds. */
const refreshIntervalMs = 100;

/** Follows what this host knows of the fleet since its start. */
export class RetryPartTracker {
	readonly #options: RetryPartOptions;
	readonly #startedAtMs: number;
	#updatedAtMs = Number.NEGATIVE_INFINITY;
	#part: RetryPart = {hostCount: minHostCount, hasSlack: false, isNew: true};

	/**
	 * @param options - This host and what it knows of the others.
	 */
	constructor(options: RetryPartOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
	}

	/**
	 * Gets the part.
	 *
	 * @param windowMs - The length of the budget's window in milliseconds.
	 * @returns The part that this host may use now.
	 */
	getPart(windowMs: number): RetryPart {
		const {clock, isFirstStart, directory, announcement} = this.#options;
		const nowMs = clock.monotonicMs();
		if (nowMs - this.#updatedAtMs < refreshIntervalMs) {
			return this.#part;
		}

		this.#updatedAtMs = nowMs;
		const knownCount = directory.getHosts().length + 1;
		const ageMs = nowMs - this.#startedAtMs;
		const isKnown = announcement.isComplete;
		// What a previous run has spent is unknown, but at the first start there was none.
		const isNew = !isFirstStart && (ageMs < windowMs + discoveryMs || !isKnown);
		const hasSlack = !isNew && isKnown && directory.hasMajority;
		const hostCount = hasSlack
			? knownCount
			: Math.max(minHostCount, knownCount);
		this.#update({hostCount, hasSlack, isNew});
		return this.#part;
	}

	#update(part: RetryPart): void {
		const {hostCount, hasSlack, isNew} = this.#part;
		if (
			part.hostCount !== hostCount ||
			part.hasSlack !== hasSlack ||
			part.isNew !== isNew
		) {
			this.#part = part;
			this.#options.onChange(part);
		}
	}
}

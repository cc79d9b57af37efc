/** Keeps the parts that this host may use of the limits that targets have named. */

import type {RandomSource} from '@bilberryscale/core';
import type {KnownPlace} from '../fleet/host-places.js';
import type {
	RegisteredTarget,
	TargetIncarnation,
} from '../plan/registered-target.js';
import {getRateShare, type HostPlace} from './get-rate-share.js';

/** This host and how it gets to know the others. */
export type LimitSharesOptions = {
	readonly random: RandomSource;
	readonly self: HostPlace;
	/**
	 * Gets the other hosts, including those that were not heard from lately.
	 *
	 * @returns The same array until a host is added or removed.
	 */
	readonly getPeers: () => readonly KnownPlace[];
	/** Whether this host may use a part: all others know it, and it is on the larger side of a cut. */
	readonly mayHold: () => boolean;
};

type CachedShare = {readonly perSecond: number; readonly share: number};

/** Mean time between two checks of all hosts together whether a target still names its limit, in milliseconds. */
const checkIntervalMs = 5000;

/** Computes and caches this host's parts of limits. */
export class LimitShares {
	readonly #options: LimitSharesOptions;
	readonly #shares = new Map<TargetIncarnation, CachedShare>();
	#peers: readonly KnownPlace[] = [];

	/**
	 * @param options - This host and the others.
	 */
	constructor(options: LimitSharesOptions) {
		this.#options = options;
	}

	/**
	 * Gets the part of a target's limit that this host may use.
	 *
	 * @param target - The target.
	 * @param perSecond - The limit in requests per second.
	 * @returns Requests per second.
	 */
	getShare(target: RegisteredTarget, perSecond: number): number {
		const {self, getPeers, mayHold} = this.#options;
		if (!mayHold()) {
			return 0;
		}

		const peers = getPeers();
		if (peers !== this.#peers) {
			this.#peers = peers;
			this.#shares.clear();
		}

		const cached = this.#shares.get(target.incarnation);
		if (cached?.perSecond === perSecond) {
			return cached.share;
		}

		const share = getRateShare({perSecond, target, self, peers});
		this.#shares.set(target.incarnation, {perSecond, share});
		return share;
	}

	/**
	 * Gets how long this host waits before it checks a limit that it has not
	 * heard of again.
	 *
	 * @returns The time in milliseconds; random, so that hosts don't check at once.
	 */
	getCheckDelayMs(): number {
		const {random, getPeers} = this.#options;
		return checkIntervalMs * (getPeers().length + 1) * (0.5 + random());
	}
}

/** Keeps the parts that this host may use of the limits that targets have named. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {
	RegisteredTarget,
	TargetIncarnation,
} from '../plan/registered-target.js';
import {getRateShare, type HostPlace} from './get-rate-share.js';

/** This host and how it gets to know the others. */
export type LimitSharesOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly self: HostPlace;
	/**
	 * Gets the other hosts, including those that were not heard from lately.
	 *
	 * @returns The same array until a host is added or removed.
	 */
	readonly getPeers: () => readonly HostPlace[];
};

type CachedShare = {readonly perSecond: number; readonly share: number};

/** Time until a host that has started knows the others, in milliseconds; it uses no part of a limit before. */
const startupMs = 5000;
/** Mean time between two checks of all hosts together whether a target still names its limit, in milliseconds. */
const checkIntervalMs = 5000;

/** Computes and caches this host's parts of limits. */
export class LimitShares {
	readonly #options: LimitSharesOptions;
	readonly #startedAtMs: number;
	readonly #shares = new Map<TargetIncarnation, CachedShare>();
	#peers: readonly HostPlace[] = [];

	/**
	 * @param options - This host and the others.
	 */
	constructor(options: LimitSharesOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
	}

	/**
	 * Gets the part of a target's limit that this host may use.
	 *
	 * @param target - The target.
	 * @param perSecond - The limit in requests per second.
	 * @returns Requests per second.
	 */
	getShare(target: RegisteredTarget, perSecond: number): number {
		const {clock, self, getPeers} = this.#options;
		if (clock.monotonicMs() - this.#startedAtMs < startupMs) {
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

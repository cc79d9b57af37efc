/** The state that this host keeps of the limit of one cold target. */

import type {
	Clock,
	RandomSource,
	ServiceName,
	TargetId,
} from '@bilberryscale/core';
import {TokenBucket} from '../accounts/token-bucket.js';
import {
	divideWarmUpLimit,
	type WarmUpBound,
	type WarmUpDivision,
} from './warm-up-bound.js';
import {getWarmUpHolders} from './warm-up-holders.js';
import {
	isUsable,
	makeWarmUpPermit,
	type WarmUpPermit,
} from './warm-up-permit.js';

/** The limit, this host and the others. */
export type ColdTargetOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly service: ServiceName;
	readonly id: TargetId;
	/** The IP address of this host. */
	readonly self: string;
	/** Gets the other hosts; the same array until one is added or forgotten. */
	readonly getHosts: () => readonly string[];
	/** Whether this host may hold a part: all others know it, and no previous run of it can have given permits that still count. */
	readonly mayHold: () => boolean;
	/** Gets the rate that the service publishes, in requests per second; undefined if the plan does not have the service. */
	readonly getPerSecond: (service: ServiceName) => number | undefined;
	readonly getBound: () => WarmUpBound;
};

/** This host's part of the limit. */
export type WarmUpPart = WarmUpDivision & {
	/** The rate that the service publishes, in requests per second. */
	readonly perSecond: number;
	/** The rate at which this host gives permits, in permits per second; 0 if it holds no part. */
	readonly ownPerSecond: number;
};

/** When a host that holds no part, or does not know of the target, is asked again, in milliseconds. */
const noPartRetryMs = 1000;
const burst = 1;

/** Gives permits for one target, by this host's part of the limit and by those that others have given. */
export class ColdTarget {
	readonly #options: ColdTargetOptions;
	readonly #bucket: TokenBucket;
	/** Permits that other hosts have given or that were given back. */
	#permits: WarmUpPermit[] = [];
	/** Until when each holder is not asked, on the monotonic clock, in milliseconds. */
	readonly #askAtMs = new Map<string, number>();
	#hosts: readonly string[] | undefined;
	#holders: readonly string[] = [];
	#usedAtMs: number;

	/**
	 * @param options - The limit, this host and the others.
	 */
	constructor(options: ColdTargetOptions) {
		this.#options = options;
		this.#usedAtMs = options.clock.monotonicMs();
		this.#bucket = new TokenBucket({
			ratePerSecond: 0,
			burst,
			level: burst,
			nowMs: this.#usedAtMs,
		});
	}

	/** When it was last used, on the monotonic clock, in milliseconds. */
	get usedAtMs(): number {
		return this.#usedAtMs;
	}

	/** The number of permits at hand that were not taken, without this host's part. */
	get permitCount(): number {
		const {clock} = this.#options;
		this.#permits = this.#permits.filter((permit) => isUsable(permit, clock));
		return this.#permits.length;
	}

	/** Gets this host's part of the limit. */
	getPart(): WarmUpPart {
		const {getHosts, getPerSecond, getBound, mayHold, self, service} =
			this.#options;
		const perSecond = getPerSecond(service) ?? 0;
		const division = divideWarmUpLimit({
			perSecond,
			bound: getBound(),
			hostCount: getHosts().length + 1,
		});
		const holders = this.#getHolders(division.holderCount);
		const isHolder = holders.includes(self) && mayHold();
		return {
			...division,
			perSecond,
			ownPerSecond: isHolder ? division.partPerSecond : 0,
		};
	}

	/** Whether a permit can be taken now. */
	get hasPermit(): boolean {
		return this.permitCount > 0 || this.#fillBucket().isFull;
	}

	/**
	 * Takes a permit that is at hand, or one of this host's part.
	 *
	 * @returns The permit; undefined if there is none.
	 */
	take(): WarmUpPermit | undefined {
		this.#usedAtMs = this.#options.clock.monotonicMs();
		return this.permitCount > 0 ? this.#permits.shift() : this.grant();
	}

	/**
	 * Takes a permit of this host's part.
	 *
	 * @returns The permit; undefined if this host holds no part or has given it.
	 */
	grant(): WarmUpPermit | undefined {
		const {clock} = this.#options;
		const nowMs = clock.monotonicMs();
		this.#usedAtMs = nowMs;
		return this.#fillBucket().isFull && this.#bucket.take(1, 1, nowMs) > 0
			? makeWarmUpPermit(clock)
			: undefined;
	}

	/** Gets when a host that got no permit should ask again, in milliseconds. */
	getRetryAfterMs(): number {
		const {isHolder} = this.#fillBucket();
		return isHolder
			? this.#bucket.reserveReturnMs(this.#options.clock.monotonicMs())
			: noPartRetryMs;
	}

	/**
	 * Adds a permit that another host has given or with which nothing was sent.
	 *
	 * @param permit - The permit.
	 */
	add(permit: WarmUpPermit): void {
		this.#permits.push(permit);
	}

	/**
	 * Notes that a holder has no permit.
	 *
	 * @param holder - Its address.
	 * @param retryAfterMs - When to ask it again, in milliseconds.
	 */
	addRefusal(holder: string, retryAfterMs: number): void {
		this.#askAtMs.set(holder, this.#options.clock.monotonicMs() + retryAfterMs);
	}

	/**
	 * Chooses a holder to ask for a permit.
	 *
	 * @returns Its address; undefined if none may have one now.
	 */
	chooseHolder(): string | undefined {
		const {clock, random} = this.#options;
		const nowMs = clock.monotonicMs();
		this.#usedAtMs = nowMs;
		const askable = this.#getOtherHolders().filter(
			(holder) => (this.#askAtMs.get(holder) ?? 0) <= nowMs,
		);
		return askable[Math.floor(random() * askable.length)];
	}

	/**
	 * Gets the time until a permit may be had.
	 *
	 * @returns The time in milliseconds; 0 if a holder may have one now or none is known.
	 */
	getWaitMs(): number {
		if (this.hasPermit) {
			return 0;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const waits = this.#getOtherHolders().map(
			(holder) => (this.#askAtMs.get(holder) ?? 0) - nowMs,
		);
		const {ownPerSecond} = this.getPart();
		if (ownPerSecond > 0) {
			waits.push(this.#bucket.getWaitMs(nowMs));
		}

		return waits.length === 0 ? 0 : Math.max(0, Math.min(...waits));
	}

	#getOtherHolders(): readonly string[] {
		const {holderCount} = this.getPart();
		return this.#getHolders(holderCount).filter(
			(holder) => holder !== this.#options.self,
		);
	}

	#fillBucket(): {readonly isHolder: boolean; readonly isFull: boolean} {
		const nowMs = this.#options.clock.monotonicMs();
		const {ownPerSecond} = this.getPart();
		this.#bucket.configure(ownPerSecond, burst, nowMs);
		const isHolder = ownPerSecond > 0;
		return {isHolder, isFull: isHolder && this.#bucket.getWaitMs(nowMs) === 0};
	}

	#getHolders(count: number): readonly string[] {
		const {getHosts, id, self} = this.#options;
		const hosts = getHosts();
		if (hosts !== this.#hosts || this.#holders.length !== count) {
			this.#hosts = hosts;
			this.#holders = getWarmUpHolders(id, [...hosts, self], count);
		}

		return this.#holders;
	}
}

/** The owner's side of rate limits: grants tokens of the accounts that this host owns or stands in for. */

import type {Clock} from '@bilberryscale/core';
import type {ClientAccountName} from '../plan/client-account.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {
	fallbackLeaseMs,
	getFallbackLimit,
	getLeaseMs,
	toleratesOwners,
	type AccountLimit,
	type AllotmentBound,
} from './allotment-tolerance.js';
import type {TokenReply, TokenRequest} from './allotment-message.js';
import type {HostContacts} from './host-contacts.js';
import type {OwnerRanking} from './owner-ranking.js';
import {TokenBucket} from './token-bucket.js';

/** This host, what it knows of the others and the bound. */
export type AllotmentOwnerOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** The IP address of this host. */
	readonly self: string;
	readonly ranking: OwnerRanking;
	readonly contacts: HostContacts;
	/** Gets the share of the other hosts that this one reaches, from 0 to 1. */
	readonly getReachShare: () => number;
	/** Gets how many other hosts are known. */
	readonly getPeerCount: () => number;
	readonly getBound: () => AllotmentBound;
};

/** Why a host grants tokens: it ranks first, those before it are silent, or some hosts do not reach those before it. */
type Role = 'owner' | 'successor' | 'fallback';

type AccountState = {
	limit: AccountLimit;
	/** Grants the account's limit. */
	readonly bucket: TokenBucket;
	/** Grants part of the tolerance, in place of a better host. */
	readonly fallbackBucket: TokenBucket;
	/** The other hosts that found a better host silent, and when. */
	readonly fallbackAskers: Map<string, number>;
	role: Role | undefined;
	/** Until when the tokens are counted that the limit allows, on the monotonic clock. */
	countedUntilMs: number;
};

/** How long better hosts must be silent before this one grants their whole limit, in milliseconds; they stop granting it within 4 s of losing the others. */
const takeoverMs = 6000;
/** How many other hosts must have found the better hosts silent too, so that one broken link makes no second owner. */
const minFallbackAskers = 2;
/** Share of the hosts that may be down before an owner grants less than the limit, as a factor; part of the tolerance covers it. */
const reachAllowance = 1.1;
/** An account that stays within its bound with so many owners at once is granted in full, whatever hosts are reached. */
const usualOwnerCount = 2;
/** The same while hosts are silent, as the fleet may be in more than two parts. */
const partitionOwnerCount = 4;
/** So many silent hosts suggest a partition; a single one was probably restarted. */
const minSuspectedHosts = 3;
/** The level of a new bucket as a share of the burst; hosts may have spent the burst before a restart. */
const newBucketShare = 0.5;
/** How long a reply is kept for a request that is sent again, in milliseconds. */
const replyMemoryMs = 250;
/** A refusal without any token to come returns after this time, in milliseconds. */
const idleRetryMs = 1000;
const msPerSecond = 1000;

/** Holds the token buckets of accounts. */
export class AllotmentOwner {
	readonly #options: AllotmentOwnerOptions;
	readonly #accounts = new Map<ClientAccountName, AccountState>();
	/** Recent replies by sender and request, oldest first. */
	readonly #replies = new Map<
		string,
		{readonly reply: TokenReply; readonly atMs: number}
	>();

	#limits: ReadonlyMap<ClientAccountName, AccountLimit> = new Map();
	#startedAtMs: number;

	/**
	 * @param options - This host, what it knows of the others and the bound.
	 */
	constructor(options: AllotmentOwnerOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
	}

	/**
	 * Puts the limits of a plan in force.
	 *
	 * @param limits - The limits by account.
	 */
	setLimits(limits: ReadonlyMap<ClientAccountName, AccountLimit>): void {
		this.#limits = limits;
		for (const [account, state] of this.#accounts) {
			const limit = limits.get(account);
			if (limit === undefined) {
				this.#accounts.delete(account);
			} else {
				this.#applyLimit(state, limit);
			}
		}
	}

	/**
	 * Answers a request for tokens.
	 *
	 * @param request - The request.
	 * @param sender - The address of the host that asks; it may be this one.
	 * @returns The reply.
	 */
	answer(request: TokenRequest, sender: string): TokenReply {
		const nowMs = this.#options.clock.monotonicMs();
		for (const [key, {atMs}] of this.#replies) {
			if (nowMs - atMs <= replyMemoryMs) {
				break;
			}

			this.#replies.delete(key);
		}

		const key = `${sender} ${request.ask}`;
		const known = this.#replies.get(key);
		if (known !== undefined) {
			return known.reply;
		}

		const reply = this.#decide(request, sender, nowMs);
		this.#replies.set(key, {reply, atMs: nowMs});
		return reply;
	}

	/**
	 * Puts back tokens whose requests certainly have not run.
	 *
	 * @param account - The account.
	 * @param count - The number of tokens.
	 */
	giveBack(account: ClientAccountName, count: number): void {
		const state = this.#accounts.get(account);
		// The tolerance of a fallback owner is not refilled: its tokens need no return to be bounded.
		if (state !== undefined && state.role !== 'fallback') {
			state.bucket.giveBack(count);
		}
	}

	/** Starts again with new buckets, as this host was paused and another one may have granted their tokens. */
	restart(): void {
		this.#accounts.clear();
		this.#replies.clear();
		this.#startedAtMs = this.#options.clock.monotonicMs();
	}

	#decide(request: TokenRequest, sender: string, nowMs: number): TokenReply {
		const {ranking, contacts, metrics} = this.#options;
		const {ask, account, skipped} = request;
		const better = ranking.getBetter(account);
		const owner = better.find(
			(address) => !skipped.includes(address) && !contacts.isSilent(address),
		);
		if (owner !== undefined) {
			metrics.recordAllotmentRedirect();
			return makeReply(ask, {owner});
		}

		const state = this.#getState(request, nowMs);
		const role = this.#getRole(better, state, sender);
		this.#setRole(account, state, role, better);
		const {bucket, validMs} =
			role === 'fallback'
				? this.#prepareFallback(state, better.length, nowMs)
				: this.#prepareLimit(account, state, nowMs);
		const granted = bucket.take(request.needed, request.wanted, nowMs);
		metrics.recordAllotmentGrant(account, role, granted);
		return makeReply(ask, {
			granted,
			validMs,
			retryAfterMs:
				granted >= request.needed
					? 0
					: Math.min(idleRetryMs, bucket.reserveReturnMs(nowMs)),
		});
	}

	#getRole(
		better: readonly string[],
		{fallbackAskers}: AccountState,
		sender: string,
	): Role {
		const {clock, self, contacts, getPeerCount} = this.#options;
		if (better.length === 0) {
			return 'owner';
		}

		const nowMs = clock.monotonicMs();
		for (const address of better) {
			contacts.check(address);
		}

		if (sender !== self) {
			fallbackAskers.set(sender, nowMs);
		}

		for (const [address, atMs] of fallbackAskers) {
			if (nowMs - atMs > takeoverMs) {
				fallbackAskers.delete(address);
			}
		}

		const isTakenOver = better.every(
			(address) => contacts.getSilentMs(address) >= takeoverMs,
		);
		const requiredAskers = Math.min(
			minFallbackAskers,
			getPeerCount() - better.length,
		);
		return isTakenOver && fallbackAskers.size >= requiredAskers
			? 'successor'
			: 'fallback';
	}

	#setRole(
		account: ClientAccountName,
		state: AccountState,
		role: Role,
		better: readonly string[],
	): void {
		if (role !== state.role) {
			this.#options.log.write('allotment role changed', {
				account,
				role,
				former: state.role,
				silentHosts: better,
			});
			state.role = role;
		}
	}

	#prepareLimit(
		account: ClientAccountName,
		state: AccountState,
		nowMs: number,
	): {readonly bucket: TokenBucket; readonly validMs: number} {
		const {getBound, getReachShare, contacts, metrics} = this.#options;
		const {limit, bucket} = state;
		const bound = getBound();
		const ownerCount =
			contacts.silentCount < minSuspectedHosts
				? usualOwnerCount
				: partitionOwnerCount;
		const factor = toleratesOwners(ownerCount, limit, bound)
			? 1
			: Math.min(1, reachAllowance * getReachShare());
		bucket.configure(limit.ratePerSecond * factor, limit.burst * factor, nowMs);
		metrics.recordAllotmentAllowed(
			account,
			((nowMs - state.countedUntilMs) * limit.ratePerSecond) / msPerSecond,
		);
		state.countedUntilMs = nowMs;
		return {bucket, validMs: getLeaseMs(limit, bound)};
	}

	#prepareFallback(
		{limit, fallbackBucket}: AccountState,
		position: number,
		nowMs: number,
	): {readonly bucket: TokenBucket; readonly validMs: number} {
		const {ratePerSecond, burst} = getFallbackLimit(
			limit,
			this.#options.getBound(),
			position,
		);
		fallbackBucket.configure(ratePerSecond, burst, nowMs);
		return {bucket: fallbackBucket, validMs: fallbackLeaseMs};
	}

	#getState({account, limit}: TokenRequest, nowMs: number): AccountState {
		const own = this.#limits.get(account);
		const newest =
			own === undefined || limit.planVersion > own.planVersion ? limit : own;
		const existing = this.#accounts.get(account);
		if (existing !== undefined) {
			if (newest.planVersion > existing.limit.planVersion) {
				this.#applyLimit(existing, newest);
			}

			return existing;
		}

		const {ratePerSecond, burst} = newest;
		const filled =
			newBucketShare * burst +
			(ratePerSecond * (nowMs - this.#startedAtMs)) / msPerSecond;
		const state: AccountState = {
			limit: newest,
			bucket: new TokenBucket({ratePerSecond, burst, level: filled, nowMs}),
			fallbackBucket: new TokenBucket({
				ratePerSecond: 0,
				burst: 1,
				level: 1,
				nowMs,
			}),
			fallbackAskers: new Map(),
			role: undefined,
			countedUntilMs: nowMs,
		};
		this.#accounts.set(account, state);
		return state;
	}

	#applyLimit(state: AccountState, limit: AccountLimit): void {
		if (limit.planVersion >= state.limit.planVersion) {
			state.limit = limit;
			state.bucket.configure(
				limit.ratePerSecond,
				limit.burst,
				this.#options.clock.monotonicMs(),
			);
		}
	}
}

function makeReply(
	ask: number,
	changes: Partial<Omit<TokenReply, 'method' | 'ask'>>,
): TokenReply {
	return {
		method: 'token-reply',
		ask,
		granted: 0,
		validMs: 0,
		retryAfterMs: 0,
		owner: undefined,
		...changes,
	};
}

/** Decides whether a request is within the rate limit of its client account, which all hosts keep together. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {ClientAccount, ClientAccountName} from '../plan/client-account.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import type {KnownHosts} from '../fleet/known-hosts.js';
import {AllotmentOwner} from './allotment-owner.js';
import {
	getIsolatedShare,
	type AccountLimit,
	type AllotmentBound,
} from './allotment-tolerance.js';
import {isReply, type AllotmentMessage} from './allotment-message.js';
import {HostContacts} from './host-contacts.js';
import {HostReach} from './host-reach.js';
import {IsolatedAllotment} from './isolated-allotment.js';
import {OwnerRanking} from './owner-ranking.js';
import {PauseDetector} from './pause-detector.js';
import {TokenRequester, type TokenDecision} from './token-requester.js';
import {TokenLease, type Token} from './token-lease.js';

/** This host, how it reaches the others and the bound. */
export type AllotmentGateOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** The IP address of this host. */
	readonly self: string;
	/** The other hosts; it has to get the messages that the gate gets, before the gate. */
	readonly knownHosts: KnownHosts;
	/** Sends a datagram to another host. */
	readonly send: (address: string, message: AllotmentMessage) => void;
	readonly getBound: () => AllotmentBound;
};

/** Whether a request may be sent. */
export type AllotmentDecision =
	| {
			readonly isGranted: true;
			/** The token with which the request may be sent. */
			readonly token: Token;
	  }
	| {
			readonly isGranted: false;
			/** When the caller should return, in milliseconds. */
			readonly retryAfterMs: number;
			/** The host that has refused it; undefined if no host has answered. */
			readonly decidedBy: string | undefined;
	  };

type AccountState = {
	readonly lease: TokenLease;
	readonly isolated: IsolatedAllotment;
	/** Resolves the requests that wait for a token, oldest first. */
	readonly waiting: Array<(decision: AllotmentDecision) => void>;
	/** Whether a token request is on its way or about to be sent. */
	isAsking: boolean;
	/** How many of the oldest waiting requests that token request is for. */
	askedCount: number;
	/** When the latest refusal was, on the monotonic clock. */
	refusedAtMs: number;
};

/** Lower bound on the assumed number of hosts, as some may not be discovered yet. */
const minHostCount = 16;
/** An account that was refused a request within this time, in milliseconds, is probably over its limit still. */
const scarceMs = 1000;
/** When a caller should return if no owner has answered, in milliseconds. */
const isolatedRetryMs = 1000;
const msPerSecond = 1000;
/** The token of a request that no owner has to grant. */
const ungrantedToken: Token = {
	expiresAtMs: Number.POSITIVE_INFINITY,
	grantor: undefined,
};

/** Takes tokens for requests of this host and answers the other hosts' messages. */
export class AllotmentGate {
	readonly #options: AllotmentGateOptions;
	readonly #contacts: HostContacts;
	readonly #reach: HostReach;
	readonly #pauses: PauseDetector;
	readonly #owner: AllotmentOwner;
	readonly #requester: TokenRequester;
	readonly #accounts = new Map<ClientAccountName, AccountState>();
	#planVersion = 0;

	/**
	 * @param options - This host, how it reaches the others and the bound.
	 */
	constructor(options: AllotmentGateOptions) {
		this.#options = options;
		const {clock, random, log, metrics, knownHosts, send} = options;
		const {directory} = knownHosts;
		const getHosts = () => directory.getHosts();
		const ranking = new OwnerRanking(options.self, getHosts);
		const contacts = new HostContacts({
			clock,
			log,
			sendCheck(address) {
				send(address, {method: 'contact-check', check: 0});
			},
			onSilent() {
				metrics.recordSilentHost();
			},
		});
		this.#contacts = contacts;
		this.#reach = new HostReach({
			clock,
			random,
			getHosts,
			sendCheck(address, check) {
				send(address, {method: 'contact-check', check});
			},
			onChange(share) {
				log.write('share of reached hosts changed', {share});
			},
		});
		this.#owner = new AllotmentOwner({
			...options,
			ranking,
			contacts,
			getReachShare: () => this.#reach.getShare(),
			getPeerCount: () => getHosts().length,
		});
		this.#requester = new TokenRequester({
			...options,
			ranking,
			contacts,
			directory,
			answerLocally: (request) => this.#owner.answer(request, options.self),
		});
		this.#pauses = new PauseDetector(clock, (pauseMs) => {
			log.write('host was paused', {pauseMs: Math.round(pauseMs)});
			this.#contacts.clear();
			this.#reach.clear();
			this.#owner.restart();
		});
	}

	/**
	 * Puts the limits of a plan in force. Without limits, no message is sent.
	 *
	 * @param planVersion - The version of the plan.
	 * @param accounts - Its client accounts; undefined if it has none.
	 */
	setAccounts(
		planVersion: number,
		accounts: readonly ClientAccount[] = [],
	): void {
		this.#planVersion = planVersion;
		const limits = new Map<ClientAccountName, AccountLimit>();
		for (const {name, ratePerSecond, burst} of accounts) {
			if (ratePerSecond > 0) {
				limits.set(name, {planVersion, ratePerSecond, burst});
			}
		}

		this.#owner.setLimits(limits);
		for (const [name, {waiting}] of this.#accounts) {
			if (!limits.has(name) && waiting.length === 0) {
				this.#accounts.delete(name);
			}
		}

		if (limits.size > 0) {
			this.#options.knownHosts.start();
			this.#pauses.start();
		}
	}

	/** Stops the timers. */
	stop(): void {
		this.#reach.stop();
		this.#pauses.stop();
	}

	/**
	 * Takes a token for a request.
	 *
	 * @param account - The client account of the request.
	 * @param requestId - The id of the request, for the log.
	 * @returns Whether the request may be sent, and until when.
	 */
	async take(
		account: ClientAccount,
		requestId: string,
	): Promise<AllotmentDecision> {
		if (account.ratePerSecond <= 0) {
			return {isGranted: true, token: ungrantedToken};
		}

		const nowMs = this.#options.clock.monotonicMs();
		const state = this.#getState(account.name);
		state.lease.countRequest(nowMs);
		const token = state.lease.take(nowMs);
		const decision =
			token === undefined
				? await new Promise<AllotmentDecision>((resolve) => {
						state.waiting.push(resolve);
						this.#ask(account, state);
					})
				: ({isGranted: true, token} as const);
		if (!decision.isGranted) {
			this.#recordRefusal(account, requestId, decision);
		}

		return decision;
	}

	/**
	 * Gives back the token of a request that certainly has not run.
	 *
	 * @param account - The client account of the request.
	 * @param token - The token; one that has expired or that no host has granted is not given back.
	 */
	giveBack({name}: ClientAccount, {expiresAtMs, grantor}: Token): void {
		const {clock, self, send} = this.#options;
		if (grantor === undefined || expiresAtMs <= clock.monotonicMs()) {
			return;
		}

		if (grantor === self) {
			this.#owner.giveBack(name, 1);
		} else {
			send(grantor, {method: 'token-return', account: name, count: 1});
		}
	}

	/**
	 * Tells whether an account is probably over its limit, so that it saves work to wait for a token first.
	 *
	 * @param account - The client account.
	 * @returns Whether a request of it was refused lately.
	 */
	isScarce({name}: ClientAccount): boolean {
		const refusedAtMs = this.#accounts.get(name)?.refusedAtMs;
		return (
			refusedAtMs !== undefined &&
			this.#options.clock.monotonicMs() - refusedAtMs <= scarceMs
		);
	}

	/**
	 * Handles a message of another host.
	 *
	 * @param message - The message.
	 * @param sender - The address of the other host.
	 */
	receive(message: AllotmentMessage, sender: string): void {
		const {send} = this.#options;
		if (isReply(message)) {
			this.#contacts.recordReply(sender);
		}

		switch (message.method) {
			case 'token-request': {
				if (!this.#pauses.isReadingStale) {
					send(sender, this.#owner.answer(message, sender));
				}

				break;
			}

			case 'token-reply': {
				this.#requester.receive(message, sender);
				break;
			}

			case 'token-return': {
				this.#owner.giveBack(message.account, message.count);
				break;
			}

			case 'contact-check': {
				send(sender, {method: 'contact-reply', check: message.check});
				break;
			}

			case 'contact-reply': {
				this.#reach.recordAnswer(message.check);
				break;
			}

			case 'hosts-request':
			case 'hosts-reply':
			// The list of hosts is kept by the known hosts.
		}
	}

	#getState(account: ClientAccountName): AccountState {
		const existing = this.#accounts.get(account);
		if (existing !== undefined) {
			return existing;
		}

		const {clock, random} = this.#options;
		const state: AccountState = {
			lease: new TokenLease(),
			isolated: new IsolatedAllotment(clock, random),
			waiting: [],
			isAsking: false,
			askedCount: 0,
			refusedAtMs: Number.NEGATIVE_INFINITY,
		};
		this.#accounts.set(account, state);
		return state;
	}

	/** Asks for the tokens that requests wait for; one message at a time. */
	#ask(account: ClientAccount, state: AccountState): void {
		if (state.isAsking) {
			return;
		}

		state.isAsking = true;
		this.#options.knownHosts.whenReady(() => {
			const {ratePerSecond, burst} = account;
			const needed = state.waiting.length;
			state.askedCount = needed;
			const leadCount = state.lease.getLeadCount(
				this.#options.clock.monotonicMs(),
			);
			this.#requester.request(
				{
					account: account.name,
					limit: {planVersion: this.#planVersion, ratePerSecond, burst},
					needed,
					wanted: needed + leadCount,
				},
				{
					onDecision: (decision) => {
						this.#applyDecision(account, state, decision);
					},
					onLateTokens: (decision) => {
						this.#addTokens(state, decision);
					},
				},
			);
		});
	}

	/** Ends a token request: the requests that it was for and that got no token are refused. */
	#applyDecision(
		account: ClientAccount,
		state: AccountState,
		decision: TokenDecision,
	): void {
		this.#addTokens(state, decision);
		state.isAsking = false;
		const unserved = state.waiting.splice(0, state.askedCount);
		state.askedCount = 0;
		for (const [index, resolve] of unserved.entries()) {
			resolve(this.#decideWithoutToken(account, state, decision, index));
		}

		if (state.waiting.length > 0) {
			this.#ask(account, state);
		}
	}

	/** Adds granted tokens to the lease and serves waiting requests from it, oldest first. */
	#addTokens(
		state: AccountState,
		{granted, expiresAtMs, decidedBy}: TokenDecision,
	): void {
		const nowMs = this.#options.clock.monotonicMs();
		state.lease.add(granted, {expiresAtMs, grantor: decidedBy});
		while (state.waiting.length > 0) {
			const token = state.lease.take(nowMs);
			if (token === undefined) {
				return;
			}

			state.askedCount = Math.max(0, state.askedCount - 1);
			state.waiting.shift()!({isGranted: true, token});
		}
	}

	/**
	 * Decides on a request that got no token.
	 *
	 * @param account - Its client account.
	 * @param state - The state of the account.
	 * @param decision - The decision on the token request.
	 * @param position - How many requests without a token are before it.
	 * @returns A refusal, or the permission by this host's own part if no owner has answered.
	 */
	#decideWithoutToken(
		account: ClientAccount,
		state: AccountState,
		{retryAfterMs, decidedBy}: TokenDecision,
		position: number,
	): AllotmentDecision {
		if (decidedBy === undefined) {
			const token = this.#takeIsolated(account, state);
			if (token !== undefined) {
				return {isGranted: true, token};
			}
		}

		state.refusedAtMs = this.#options.clock.monotonicMs();
		const spacingMs =
			(position * msPerSecond) / Math.max(1, account.ratePerSecond);
		return {
			isGranted: false,
			retryAfterMs:
				decidedBy === undefined
					? isolatedRetryMs
					: Math.min(msPerSecond, retryAfterMs + spacingMs),
			decidedBy,
		};
	}

	/** Takes a token from this host's own part, as no owner has answered. */
	#takeIsolated(
		{name, ratePerSecond, burst}: ClientAccount,
		{isolated}: AccountState,
	): Token | undefined {
		const {getBound, metrics} = this.#options;
		const bound = getBound();
		const hostCount = Math.max(
			minHostCount,
			this.#options.knownHosts.directory.getHosts().length + 1,
		);
		const limit = {planVersion: this.#planVersion, ratePerSecond, burst};
		const perWindow = getIsolatedShare(limit, bound, hostCount);
		if (!isolated.take(perWindow, bound.windowMs)) {
			return undefined;
		}

		metrics.recordAllotmentGrant(name, 'isolated', 1);
		return ungrantedToken;
	}

	#recordRefusal(
		{name, ratePerSecond}: ClientAccount,
		requestId: string,
		{
			retryAfterMs,
			decidedBy,
		}: Extract<AllotmentDecision, {readonly isGranted: false}>,
	): void {
		const {log, metrics} = this.#options;
		metrics.recordAllotmentRefusal(name);
		log.write('request over its allotment', {
			requestId,
			account: name,
			ratePerSecond,
			owner: decidedBy,
			retryAfterMs: Math.round(retryAfterMs),
		});
	}
}

/** Decides whether a request is within the rate limit of its client account, which all hosts keep together. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {HostPlace} from '../limits/get-rate-share.js';
import type {ClientAccount, ClientAccountName} from '../plan/client-account.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {AllotmentOwner} from './allotment-owner.js';
import {
	getIsolatedShare,
	type AccountLimit,
	type AllotmentBound,
} from './allotment-tolerance.js';
import type {AllotmentMessage} from './allotment-message.js';
import {HostContacts} from './host-contacts.js';
import {HostDirectory} from './host-directory.js';
import {HostListExchange} from './host-list-exchange.js';
import {HostReach} from './host-reach.js';
import {IsolatedAllotment} from './isolated-allotment.js';
import {OwnerRanking} from './owner-ranking.js';
import {PauseDetector} from './pause-detector.js';
import {TokenAsker, type TokenDecision} from './token-asker.js';
import {TokenLease} from './token-lease.js';

/** This host, how it reaches the others and the bound. */
export type AllotmentGateOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** The IP address of this host. */
	readonly self: string;
	/** Gets the other hosts that gossip has brought; the same array until one is added or removed. */
	readonly getPeers: () => ReadonlyArray<Pick<HostPlace, 'address'>>;
	/** Gets the addresses of the seed hosts; some of them may no longer exist. */
	readonly getSeeds: () => readonly string[];
	/** Sends a datagram to another host. */
	readonly send: (address: string, message: AllotmentMessage) => void;
	readonly getBound: () => AllotmentBound;
};

/** Whether a request may be sent. */
export type AllotmentDecision =
	| {
			readonly isGranted: true;
			/** Until when the request must be sent, on the monotonic clock; infinity if no owner has granted it. */
			readonly expiresAtMs: number;
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
	readonly waiting: Array<(decision: AllotmentDecision) => void>;
	isAsking: boolean;
	/** When the latest refusal was, on the monotonic clock. */
	refusedAtMs: number;
	/** The host that granted the latest tokens. */
	grantor: string | undefined;
};

/** Lower bound on the assumed number of hosts, as some may not be discovered yet. */
const minHostCount = 16;
/** An account that was refused a request within this time, in milliseconds, is probably over its limit still. */
const scarceMs = 1000;
/** When a caller should return if no owner has answered, in milliseconds. */
const isolatedRetryMs = 1000;
const msPerSecond = 1000;
const unlimited: AllotmentDecision = {
	isGranted: true,
	expiresAtMs: Number.POSITIVE_INFINITY,
};

/** Takes tokens for requests of this host and answers the other hosts' messages. */
export class AllotmentGate {
	readonly #options: AllotmentGateOptions;
	readonly #directory: HostDirectory;
	readonly #contacts: HostContacts;
	readonly #reach: HostReach;
	readonly #exchange: HostListExchange;
	readonly #pauses: PauseDetector;
	readonly #owner: AllotmentOwner;
	readonly #asker: TokenAsker;
	readonly #accounts = new Map<ClientAccountName, AccountState>();
	#planVersion = 0;

	/**
	 * @param options - This host, how it reaches the others and the bound.
	 */
	constructor(options: AllotmentGateOptions) {
		this.#options = options;
		const {clock, random, log, metrics, send} = options;
		this.#directory = new HostDirectory(options);
		const getHosts = () => this.#directory.getHosts();
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
		this.#exchange = new HostListExchange({
			...options,
			directory: this.#directory,
		});
		this.#owner = new AllotmentOwner({
			...options,
			ranking,
			contacts,
			getReachShare: () => this.#reach.getShare(),
			getPeerCount: () => getHosts().length,
		});
		this.#asker = new TokenAsker({
			...options,
			ranking,
			contacts,
			directory: this.#directory,
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
			this.#exchange.start();
			this.#pauses.start();
		}
	}

	/** Stops the timers. */
	stop(): void {
		this.#exchange.stop();
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
			return unlimited;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const state = this.#getState(account.name);
		state.lease.countRequest(nowMs);
		const expiresAtMs = state.lease.take(nowMs);
		const decision =
			expiresAtMs === undefined
				? await new Promise<AllotmentDecision>((resolve) => {
						state.waiting.push(resolve);
						this.#ask(account, state);
					})
				: ({isGranted: true, expiresAtMs} as const);
		if (!decision.isGranted) {
			this.#recordRefusal(account, requestId, decision);
		}

		return decision;
	}

	/**
	 * Gives back the token of a request that certainly has not run.
	 *
	 * @param account - The client account of the request.
	 * @param expiresAtMs - When the token expires, on the monotonic clock; one that has expired or that no owner has granted is not given back.
	 */
	giveBack({name}: ClientAccount, expiresAtMs: number): void {
		const {clock, self, send} = this.#options;
		const grantor = this.#accounts.get(name)?.grantor;
		const isReturnable =
			Number.isFinite(expiresAtMs) && expiresAtMs > clock.monotonicMs();
		if (grantor === undefined || !isReturnable) {
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
		this.#directory.add(sender);
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
				this.#asker.receive(message, sender);
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

			case 'hosts-request': {
				this.#exchange.answer(sender);
				break;
			}

			case 'hosts-reply': {
				this.#exchange.receive(message);
			}
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
			refusedAtMs: Number.NEGATIVE_INFINITY,
			grantor: undefined,
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
		this.#exchange.whenReady(() => {
			const {ratePerSecond, burst} = account;
			const needed = state.waiting.length;
			const leadCount = state.lease.getLeadCount(
				this.#options.clock.monotonicMs(),
			);
			this.#asker.ask(
				{
					account: account.name,
					limit: {planVersion: this.#planVersion, ratePerSecond, burst},
					needed,
					wanted: needed + leadCount,
				},
				(decision) => {
					this.#applyDecision(account, state, needed, decision);
				},
			);
		});
	}

	#applyDecision(
		account: ClientAccount,
		state: AccountState,
		needed: number,
		decision: TokenDecision,
	): void {
		const {granted, expiresAtMs, retryAfterMs, decidedBy} = decision;
		const nowMs = this.#options.clock.monotonicMs();
		state.isAsking = false;
		state.lease.add(granted, expiresAtMs);
		if (granted > 0) {
			state.grantor = decidedBy;
		}

		for (const [index, resolve] of state.waiting.splice(0, needed).entries()) {
			const tokenExpiresAtMs =
				state.lease.take(nowMs) ??
				(decidedBy === undefined
					? this.#takeIsolated(account, state)
					: undefined);
			if (tokenExpiresAtMs === undefined) {
				state.refusedAtMs = nowMs;
				const spacingMs =
					(index * msPerSecond) / Math.max(1, account.ratePerSecond);
				resolve({
					isGranted: false,
					retryAfterMs:
						decidedBy === undefined
							? isolatedRetryMs
							: Math.min(msPerSecond, retryAfterMs + spacingMs),
					decidedBy,
				});
			} else {
				resolve({isGranted: true, expiresAtMs: tokenExpiresAtMs});
			}
		}

		if (state.waiting.length > 0) {
			this.#ask(account, state);
		}
	}

	/** Takes a token from this host's own part, as no owner has answered. */
	#takeIsolated(
		{name, ratePerSecond, burst}: ClientAccount,
		{isolated}: AccountState,
	): number | undefined {
		const {getBound, metrics} = this.#options;
		const bound = getBound();
		const hostCount = Math.max(
			minHostCount,
			this.#directory.getHosts().length + 1,
		);
		const limit = {planVersion: this.#planVersion, ratePerSecond, burst};
		const perWindow = getIsolatedShare(limit, bound, hostCount);
		if (!isolated.take(perWindow, bound.windowMs)) {
			return undefined;
		}

		metrics.recordAllotmentGrant(name, 'isolated', 1);
		return Number.POSITIVE_INFINITY;
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

/** Only replies prove that messages get there and back. */
function isReply({method}: AllotmentMessage): boolean {
	return (
		method === 'token-reply' ||
		method === 'contact-reply' ||
		method === 'hosts-reply'
	);
}

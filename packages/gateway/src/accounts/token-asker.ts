/** Sends token requests to one host after the other until one of them decides. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {ClientAccountName} from '../plan/client-account.js';
import type {AccountLimit} from './allotment-tolerance.js';
import type {TokenReply, TokenRequest} from './allotment-message.js';
import type {HostContacts} from './host-contacts.js';
import type {HostDirectory} from './host-directory.js';
import type {OwnerRanking} from './owner-ranking.js';

/** The hosts and how to reach them. */
export type TokenAskerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The IP address of this host. */
	readonly self: string;
	readonly ranking: OwnerRanking;
	readonly contacts: HostContacts;
	readonly directory: HostDirectory;
	readonly send: (address: string, request: TokenRequest) => void;
	/** Answers a request that this host has to decide itself. */
	readonly answerLocally: (request: TokenRequest) => TokenReply;
};

/** What an account needs. */
export type TokenNeed = {
	readonly account: ClientAccountName;
	readonly limit: AccountLimit;
	readonly needed: number;
	readonly wanted: number;
};

/** Tokens, a refusal, or nothing because no host has answered. */
export type TokenDecision = {
	readonly granted: number;
	/** When the tokens expire, on the monotonic clock. */
	readonly expiresAtMs: number;
	readonly retryAfterMs: number;
	/** The host that has decided; undefined if none has. */
	readonly decidedBy: string | undefined;
};

type PendingRequest = {
	readonly need: TokenNeed;
	readonly address: string;
	readonly sentAtMs: number;
	/** Called with the decision; also with tokens that arrive after another host was asked. */
	readonly onDecision: (decision: TokenDecision) => void;
	readonly progress: Progress;
	hasEnded: boolean;
};

type Progress = {
	/** Hosts that have not answered. */
	readonly skipped: Set<string>;
	askedCount: number;
	/** How many hosts were waited for in vain. */
	unansweredCount: number;
};

/** Time until a request is sent again, and then the host is skipped, in milliseconds. */
const replyTimeoutMs = 40;
/** A timer that is late by more, in milliseconds, means that this host was paused, so that a reply may wait to be read. */
const maxTimerLatenessMs = 15;
/** Extra time for such replies, in milliseconds. */
const readDelayMs = 10;
/** How many hosts are asked for one decision, redirects included. */
const maxAskedHosts = 6;
/** How many hosts that do not answer a decision waits for; each takes 80 ms. */
const maxUnansweredHosts = 2;
/** How long a late reply is accepted, in milliseconds. */
const lateReplyMs = 1000;
const firstAskRange = 2 ** 30;

/** Asks the owner of an account, then those that rank behind it. */
export class TokenAsker {
	readonly #options: TokenAskerOptions;
	readonly #pending = new Map<number, PendingRequest>();
	#lastAsk: number;

	/**
	 * @param options - The hosts and how to reach them.
	 */
	constructor(options: TokenAskerOptions) {
		this.#options = options;
		// A random start keeps replies to the previous run of this host apart.
		this.#lastAsk = Math.floor(options.random() * firstAskRange);
	}

	/**
	 * Asks for tokens.
	 *
	 * @param need - The account and the number of tokens.
	 * @param onDecision - Called with the decision; later again if tokens arrive late.
	 */
	ask(need: TokenNeed, onDecision: (decision: TokenDecision) => void): void {
		this.#askNext(need, onDecision, {
			skipped: new Set(),
			askedCount: 0,
			unansweredCount: 0,
		});
	}

	/**
	 * Handles a reply.
	 *
	 * @param reply - The reply.
	 * @param sender - The address of the host that sent it.
	 */
	receive(reply: TokenReply, sender: string): void {
		const pending = this.#pending.get(reply.ask);
		if (pending?.address === sender) {
			this.#pending.delete(reply.ask);
			this.#handleReply(pending, reply);
		}
	}

	#askNext(
		need: TokenNeed,
		onDecision: PendingRequest['onDecision'],
		progress: Progress,
	): void {
		const {ranking, contacts} = this.#options;
		for (const address of ranking.getRanked(need.account)) {
			if (contacts.isSilent(address)) {
				contacts.check(address);
				progress.skipped.add(address);
			}

			if (!progress.skipped.has(address)) {
				this.#askHost(address, need, onDecision, progress);
				return;
			}
		}

		onDecision(noDecision);
	}

	#askHost(
		address: string,
		need: TokenNeed,
		onDecision: PendingRequest['onDecision'],
		progress: Progress,
	): void {
		const {clock, self, send, answerLocally} = this.#options;
		progress.askedCount++;
		if (progress.askedCount > maxAskedHosts) {
			onDecision(noDecision);
			return;
		}

		this.#lastAsk++;
		const request: TokenRequest = {
			method: 'token-request',
			ask: this.#lastAsk,
			...need,
			skipped: [...progress.skipped],
		};
		const pending: PendingRequest = {
			need,
			address,
			sentAtMs: clock.monotonicMs(),
			onDecision,
			progress,
			hasEnded: false,
		};
		if (address === self) {
			this.#handleReply(pending, answerLocally(request));
			return;
		}

		this.#pending.set(request.ask, pending);
		send(address, request);
		this.#awaitReply(request, pending, () => {
			send(address, request);
			this.#awaitReply(request, pending, () => {
				this.#skipHost(request, pending);
			});
		});
	}

	/** Runs an action if the request has no reply in time. */
	#awaitReply(
		{ask}: TokenRequest,
		pending: PendingRequest,
		onTimeout: () => void,
	): void {
		const {clock} = this.#options;
		const dueAtMs = clock.monotonicMs() + replyTimeoutMs;
		const end = () => {
			if (this.#pending.get(ask) === pending) {
				onTimeout();
			}
		};

		clock.schedule(replyTimeoutMs, () => {
			if (clock.monotonicMs() - dueAtMs > maxTimerLatenessMs) {
				clock.schedule(readDelayMs, end);
			} else {
				end();
			}
		});
	}

	#skipHost({ask}: TokenRequest, pending: PendingRequest): void {
		const {clock, contacts} = this.#options;
		const {address, sentAtMs, need, onDecision, progress} = pending;
		pending.hasEnded = true;
		clock.schedule(lateReplyMs, () => {
			this.#pending.delete(ask);
		});
		contacts.recordMissed(address, sentAtMs);
		contacts.check(address);
		progress.skipped.add(address);
		progress.unansweredCount++;
		if (progress.unansweredCount < maxUnansweredHosts) {
			this.#askNext(need, onDecision, progress);
		} else {
			onDecision(noDecision);
		}
	}

	#handleReply(pending: PendingRequest, reply: TokenReply): void {
		const {contacts, directory, self} = this.#options;
		const {address, sentAtMs, need, onDecision, progress} = pending;
		const {granted, validMs, retryAfterMs, owner} = reply;
		if (owner === undefined) {
			if (!pending.hasEnded || granted > 0) {
				onDecision({
					granted,
					expiresAtMs: sentAtMs + validMs,
					retryAfterMs,
					decidedBy: address,
				});
			}

			return;
		}

		directory.add(owner);
		if (pending.hasEnded) {
			return;
		}

		if (owner !== self && contacts.isSilent(owner)) {
			progress.skipped.add(owner);
			this.#askHost(address, need, onDecision, progress);
		} else {
			this.#askHost(owner, need, onDecision, progress);
		}
	}
}

const noDecision: TokenDecision = {
	granted: 0,
	expiresAtMs: 0,
	retryAfterMs: 0,
	decidedBy: undefined,
};

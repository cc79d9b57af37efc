/** Sends token requests to one host after the other until one of them decides. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {ClientAccountName} from '../plan/client-account.js';
import type {HostDirectory} from '../fleet/host-directory.js';
import type {AccountLimit} from './allotment-tolerance.js';
import type {TokenReply, TokenRequest} from './allotment-message.js';
import type {HostContacts} from './host-contacts.js';
import type {OwnerRanking} from './owner-ranking.js';

/** The hosts and how to reach them. */
export type TokenRequesterOptions = {
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

/** What is called with the outcome of a token request. */
export type TokenReceiver = {
	/** Called once with the decision. */
	readonly onDecision: (decision: TokenDecision) => void;
	/** Called with tokens that arrive after another host was asked; they decide nothing about the request to that host. */
	readonly onLateTokens: (decision: TokenDecision) => void;
};

type PendingRequest = {
	readonly need: TokenNeed;
	readonly address: string;
	readonly sentAtMs: number;
	readonly receiver: TokenReceiver;
	readonly progress: Progress;
	/** Whether the host was skipped because it had not replied in time. */
	isSkipped: boolean;
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
const firstNumberRange = 2 ** 30;

/** Asks the owner of an account, then those that rank behind it. */
export class TokenRequester {
	readonly #options: TokenRequesterOptions;
	readonly #pending = new Map<number, PendingRequest>();
	#lastRequestNumber: number;

	/**
	 * @param options - The hosts and how to reach them.
	 */
	constructor(options: TokenRequesterOptions) {
		this.#options = options;
		// A random start keeps replies to the previous run of this host apart.
		this.#lastRequestNumber = Math.floor(options.random() * firstNumberRange);
	}

	/**
	 * Asks for tokens.
	 *
	 * @param need - The account and the number of tokens.
	 * @param receiver - What is called with the outcome.
	 */
	request(need: TokenNeed, receiver: TokenReceiver): void {
		this.#requestFromNext(need, receiver, {
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
		const pending = this.#pending.get(reply.requestNumber);
		if (pending?.address === sender) {
			this.#pending.delete(reply.requestNumber);
			this.#handleReply(pending, reply);
		}
	}

	#requestFromNext(
		need: TokenNeed,
		receiver: TokenReceiver,
		progress: Progress,
	): void {
		const {ranking, contacts} = this.#options;
		for (const address of ranking.getRanked(need.account)) {
			if (contacts.isSilent(address)) {
				contacts.check(address);
				progress.skipped.add(address);
			}

			if (!progress.skipped.has(address)) {
				this.#requestFrom(address, need, receiver, progress);
				return;
			}
		}

		receiver.onDecision(noDecision);
	}

	#requestFrom(
		address: string,
		need: TokenNeed,
		receiver: TokenReceiver,
		progress: Progress,
	): void {
		const {clock, self, send, answerLocally} = this.#options;
		progress.askedCount++;
		if (progress.askedCount > maxAskedHosts) {
			receiver.onDecision(noDecision);
			return;
		}

		this.#lastRequestNumber++;
		const request: TokenRequest = {
			method: 'token-request',
			requestNumber: this.#lastRequestNumber,
			...need,
			skipped: [...progress.skipped],
		};
		const pending: PendingRequest = {
			need,
			address,
			sentAtMs: clock.monotonicMs(),
			receiver,
			progress,
			isSkipped: false,
		};
		if (address === self) {
			this.#handleReply(pending, answerLocally(request));
			return;
		}

		this.#pending.set(request.requestNumber, pending);
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
		{requestNumber}: TokenRequest,
		pending: PendingRequest,
		onTimeout: () => void,
	): void {
		const {clock} = this.#options;
		const dueAtMs = clock.monotonicMs() + replyTimeoutMs;
		const end = () => {
			if (this.#pending.get(requestNumber) === pending) {
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

	#skipHost({requestNumber}: TokenRequest, pending: PendingRequest): void {
		const {clock, contacts} = this.#options;
		const {address, sentAtMs, need, receiver, progress} = pending;
		pending.isSkipped = true;
		clock.schedule(lateReplyMs, () => {
			this.#pending.delete(requestNumber);
		});
		contacts.recordMissed(address, sentAtMs);
		contacts.check(address);
		progress.skipped.add(address);
		progress.unansweredCount++;
		if (progress.unansweredCount < maxUnansweredHosts) {
			this.#requestFromNext(need, receiver, progress);
		} else {
			receiver.onDecision(noDecision);
		}
	}

	#handleReply(pending: PendingRequest, reply: TokenReply): void {
		const {contacts, directory, self} = this.#options;
		const {address, sentAtMs, need, receiver, progress} = pending;
		const {granted, validMs, retryAfterMs, owner} = reply;
		if (owner === undefined) {
			const decision: TokenDecision = {
				granted,
				expiresAtMs: sentAtMs + validMs,
				retryAfterMs,
				decidedBy: address,
			};
			if (!pending.isSkipped) {
				receiver.onDecision(decision);
			} else if (granted > 0) {
				receiver.onLateTokens(decision);
			}

			return;
		}

		directory.add(owner);
		if (pending.isSkipped) {
			return;
		}

		if (owner !== self && contacts.isSilent(owner)) {
			progress.skipped.add(owner);
			this.#requestFrom(address, need, receiver, progress);
		} else {
			this.#requestFrom(owner, need, receiver, progress);
		}
	}
}

const noDecision: TokenDecision = {
	granted: 0,
	expiresAtMs: 0,
	retryAfterMs: 0,
	decidedBy: undefined,
};

/** The permission of one request to be sent, under the rate limit of its client account. */

import {
	notRunFailure,
	type CancelFunction,
	type Clock,
	type Failure,
} from '@bilberryscale/core';
import type {ClientAccount} from '../plan/client-account.js';
import type {AllotmentDecision, AllotmentGate} from './allotment-gate.js';

/** The request and where its tokens come from. */
export type AllotmentPermitOptions = {
	readonly clock: Clock;
	readonly gate: Pick<AllotmentGate, 'take' | 'giveBack' | 'isScarce'>;
	readonly account: ClientAccount;
	readonly requestId: string;
};

/** A request that waits for a target gives its token back at this part of its validity, so that it is not lost. */
const holdShare = 0.6;

/**
 * Takes the token of a request when it arrives. If the request then waits for a target for long, the token goes back
 * and another one is taken just before the request is sent: many requests that wait could otherwise be sent at once
 * with tokens of the past.
 */
export class AllotmentPermit {
	readonly #options: AllotmentPermitOptions;
	readonly #refusal = new AbortController();
	#pending: Promise<void>;
	#decision: AllotmentDecision | undefined;
	#cancelReturn: CancelFunction = () => undefined;
	#isUsed = false;

	/**
	 * @param options - The request and where its tokens come from.
	 */
	constructor(options: AllotmentPermitOptions) {
		this.#options = options;
		this.#pending = this.#take();
	}

	/** Aborts as soon as a token is refused. */
	get refusalSignal(): AbortSignal {
		return this.#refusal.signal;
	}

	/** Whether the account was refused a token lately, so that the request should wait for its own before anything else. */
	get isScarce(): boolean {
		const {gate, account} = this.#options;
		return gate.isScarce(account);
	}

	/**
	 * Waits for the decision on the first token.
	 *
	 * @returns Why the request is refused; undefined if it may go on.
	 */
	async getRefusal(): Promise<Failure | undefined> {
		await this.#pending;
		return this.#describeRefusal();
	}

	/**
	 * Makes sure that the request holds a token; it must be sent at once after that. Has no effect on a request that was sent.
	 *
	 * @returns Why the request is refused; undefined if it may be sent.
	 */
	async hold(): Promise<Failure | undefined> {
		await this.#pending;
		if (!this.#isUsed && !this.#isValid) {
			this.#pending = this.#take();
			await this.#pending;
		}

		this.#cancelReturn();
		const refusal = this.#describeRefusal();
		this.#isUsed = refusal === undefined;
		return refusal;
	}

	/** Gives the token back, as the request certainly has not run and will not. */
	giveBack(): void {
		const {gate, account} = this.#options;
		this.#cancelReturn();
		void this.#pending.then(() => {
			this.#cancelReturn();
			if (this.#decision?.isGranted === true) {
				gate.giveBack(account, this.#decision.expiresAtMs);
				this.#decision = undefined;
			}
		});
	}

	get #isValid(): boolean {
		return (
			this.#decision !== undefined &&
			(!this.#decision.isGranted ||
				this.#decision.expiresAtMs > this.#options.clock.monotonicMs())
		);
	}

	async #take(): Promise<void> {
		const {clock, gate, account, requestId} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const decision = await gate.take(account, requestId);
		this.#decision = decision;
		if (!decision.isGranted) {
			this.#refusal.abort();
			return;
		}

		const validMs = decision.expiresAtMs - startedAtMs;
		if (Number.isFinite(validMs)) {
			const returnAtMs = startedAtMs + validMs * holdShare;
			this.#cancelReturn = clock.schedule(
				returnAtMs - clock.monotonicMs(),
				() => {
					this.#decision = undefined;
					gate.giveBack(account, decision.expiresAtMs);
				},
			);
		}
	}

	#describeRefusal(): Failure | undefined {
		if (this.#decision?.isGranted !== false) {
			return undefined;
		}

		const {name, ratePerSecond} = this.#options.account;
		const {decidedBy, retryAfterMs} = this.#decision;
		return notRunFailure(
			'account-rate-exceeded',
			`Account "${name}" is over its ${ratePerSecond} requests per second, ${decidedBy === undefined ? 'and no host that keeps its limit answers' : `says host ${decidedBy}`}.`,
			retryAfterMs,
		);
	}
}

/** Borrows retries from other hosts, and lends them to others. */

import type {
	Clock,
	DataCentreId,
	RandomSource,
	ServiceName,
} from '@bilberryscale/core';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import type {HostPlace} from './get-rate-share.js';
import type {LoanMessage, LoanReply, LoanRequest} from './loan-message.js';
import type {RetryBudget} from './retry-budget.js';

/** This host, the others and the budgets. */
export type RetryLoansOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Pick<GatewayMetrics, 'recordRetryLoan'>;
	readonly dataCentre: DataCentreId;
	/**
	 * Gets the other hosts that are considered up.
	 *
	 * @returns The hosts in random order.
	 */
	readonly getPeers: () => readonly HostPlace[];
	readonly send: (address: string, message: LoanMessage) => void;
	/** Gets this host's budget of a service. */
	readonly getBudget: (service: ServiceName) => RetryBudget;
	/** Tells whether the plan in force has a service. */
	readonly hasService: (service: ServiceName) => boolean;
};

type PendingLoan = {
	readonly service: ServiceName;
	readonly amount: number;
	readonly sentAtMs: number;
	readonly sentAt: Date;
	/** How many hosts have not replied yet. */
	unansweredCount: number;
	/** What has arrived so far. */
	received: number;
	/** Whether the request still waits for replies. */
	isOpen: boolean;
	readonly end: () => void;
};

/** What another host had left when it last replied. */
type Remainder = {readonly left: number; readonly atMs: number};

/** How many hosts are asked at once. */
const lenderCount = 5;
/** Time after which a request does not wait for replies any more, in milliseconds. */
const replyTimeoutMs = 40;
/** Replies are accepted for so long, in milliseconds; less than the time that lenders count a loan as under way. */
const validMs = 150;
/** Pause after a loan that was too small, in milliseconds, since other hosts then lack retries too. */
const fruitlessPauseMs = 20;
/** Time for which what a host had left says something about what it has, in milliseconds. */
const remainderMaxAgeMs = 2000;
/** What a host is expected to have of which nothing is known. */
const usualRemainder = 1;
const firstNumberRange = 2 ** 30;

/** Asks a few hosts at once; what they give counts as spent there. */
export class RetryLoans {
	readonly #options: RetryLoansOptions;
	readonly #pending = new Map<number, PendingLoan>();
	readonly #remainders = new Map<string, Remainder>();
	readonly #pausedUntilMs = new Map<ServiceName, number>();
	#lastRequestNumber: number;

	/**
	 * @param options - This host, the others and the budgets.
	 */
	constructor(options: RetryLoansOptions) {
		this.#options = options;
		// A random start keeps replies to the previous run of this host apart.
		this.#lastRequestNumber = Math.floor(options.random() * firstNumberRange);
	}

	/**
	 * Borrows what is missing for a retry.
	 *
	 * @param service - The service.
	 * @param reservedShare - The share of the capacity that this host and the lenders keep, from 0 to 1.
	 * @returns What the lenders have given, to be taken at once; may be too little.
	 */
	async borrow(service: ServiceName, reservedShare: number): Promise<number> {
		const {clock, getBudget, send} = this.#options;
		const sentAtMs = clock.monotonicMs();
		const amount = getBudget(service).getMissing(sentAtMs, reservedShare);
		const lenders = this.#chooseLenders(service);
		const isPaused = sentAtMs < (this.#pausedUntilMs.get(service) ?? 0);
		if (isPaused || amount === 0 || lenders.length === 0) {
			return 0;
		}

		this.#lastRequestNumber++;
		const requestNumber = this.#lastRequestNumber;
		const received = await new Promise<number>((resolve) => {
			const pending: PendingLoan = {
				service,
				amount,
				sentAtMs,
				sentAt: clock.now(),
				unansweredCount: lenders.length,
				received: 0,
				isOpen: true,
				end() {
					pending.isOpen = false;
					resolve(pending.received);
				},
			};
			this.#pending.set(requestNumber, pending);
			clock.schedule(replyTimeoutMs, pending.end);
			clock.schedule(validMs, () => {
				this.#pending.delete(requestNumber);
			});
			const message = {
				method: 'retry-loan',
				requestNumber,
				service,
				amount,
				reservedShare,
			} as const;
			for (const {address} of lenders) {
				send(address, message);
			}
		});
		if (received < amount) {
			this.#pausedUntilMs.set(service, clock.monotonicMs() + fruitlessPauseMs);
		}

		return received;
	}

	/**
	 * Handles a message of another host.
	 *
	 * @param message - The message.
	 * @param sender - The address of the other host.
	 */
	receive(message: LoanMessage, sender: string): void {
		if (message.method === 'retry-loan') {
			this.#lend(message, sender);
		} else {
			this.#addReply(message, sender);
		}
	}

	#lend(
		{requestNumber, service, amount, reservedShare}: LoanRequest,
		sender: string,
	): void {
		const {clock, getBudget, hasService, metrics, send} = this.#options;
		const reply = {method: 'retry-loan-reply', requestNumber} as const;
		if (!hasService(service)) {
			send(sender, {...reply, amount: 0, left: 0});
			return;
		}

		const nowMs = clock.monotonicMs();
		const budget = getBudget(service);
		const lent = budget.lend(nowMs, amount, reservedShare);
		metrics.recordRetryLoan(service, 'lent', lent);
		send(sender, {
			...reply,
			amount: lent,
			left: budget.getState(nowMs).tokens,
		});
	}

	#addReply({requestNumber, amount, left}: LoanReply, sender: string): void {
		const {clock, getBudget, metrics} = this.#options;
		const nowMs = clock.monotonicMs();
		const pending = this.#pending.get(requestNumber);
		if (pending === undefined || !this.#isValid(pending)) {
			return;
		}

		const {service} = pending;
		this.#remainders.set(getKey(sender, service), {left, atMs: nowMs});
		metrics.recordRetryLoan(service, 'borrowed', amount);
		pending.unansweredCount--;
		if (!pending.isOpen) {
			getBudget(service).addLoan(nowMs, amount);
			return;
		}

		pending.received += amount;
		if (pending.unansweredCount === 0 || pending.received >= pending.amount) {
			pending.end();
		}
	}

	/** Checks the wall clock too, because the monotonic clock does not count the time in which a machine is suspended. */
	#isValid({sentAtMs, sentAt}: PendingLoan): boolean {
		const {clock} = this.#options;
		return (
			clock.monotonicMs() - sentAtMs <= validMs &&
			Math.abs(clock.now().getTime() - sentAt.getTime()) <= validMs
		);
	}

	/** Chooses the hosts that probably have most left, those of the own data centre first. */
	#chooseLenders(service: ServiceName): HostPlace[] {
		const {clock, dataCentre, getPeers} = this.#options;
		const nowMs = clock.monotonicMs();
		const getRemainder = ({address}: HostPlace) => {
			const known = this.#remainders.get(getKey(address, service));
			return known !== undefined && nowMs - known.atMs <= remainderMaxAgeMs
				? Math.min(known.left, usualRemainder)
				: usualRemainder;
		};

		const getDistance = (peer: HostPlace) =>
			peer.dataCentre === dataCentre ? 0 : 1;
		return getPeers()
			.map((peer) => ({
				peer,
				remainder: getRemainder(peer),
				distance: getDistance(peer),
			}))
			.toSorted((a, b) => b.remainder - a.remainder || a.distance - b.distance)
			.slice(0, lenderCount)
			.map(({peer}) => peer);
	}
}

function getKey(address: string, service: ServiceName): string {
	return `${address} ${service}`;
}

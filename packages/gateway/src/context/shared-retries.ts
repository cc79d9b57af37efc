/** Wires up the retry budgets and what a host needs to share them with the others. */

import type {
	Clock,
	DataCentreId,
	RandomSource,
	ServiceName,
} from '@bilberryscale/core';
import {
	isReply,
	type AllotmentMessage,
	type ContactCheck,
} from '../accounts/allotment-message.js';
import {HostAnnouncement} from '../fleet/host-announcement.js';
import type {HostDirectory} from '../fleet/host-directory.js';
import type {HostPlace} from '../limits/get-rate-share.js';
import type {LoanMessage} from '../limits/loan-message.js';
import type {RetryBudgetLimit} from '../limits/retry-budget.js';
import {RetryBudgets} from '../limits/retry-budgets.js';
import {RetryLoans} from '../limits/retry-loans.js';
import {RetryPartTracker} from '../limits/retry-part.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';

/** This host, the others and the limit. */
export type SharedRetriesOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Pick<EventLog, 'write'>;
	readonly metrics: Pick<GatewayMetrics, 'recordRetryLoan'>;
	readonly dataCentre: DataCentreId;
	/** Whether no host of the fleet can have run before. */
	readonly isFirstStart: boolean;
	readonly directory: HostDirectory;
	/** Whether this host has no seeds at all, so that no other host can know it. */
	readonly isAlone: boolean;
	/** Whether there are other hosts through which this one gets to know the rest. */
	readonly hasOtherSeeds: () => boolean;
	/**
	 * Gets the other hosts that are considered up.
	 *
	 * @returns The hosts in random order.
	 */
	readonly getPeers: () => readonly HostPlace[];
	readonly getLimit: () => RetryBudgetLimit;
	/** Tells whether the plan in force has a service. */
	readonly hasService: (service: ServiceName) => boolean;
	readonly send: (address: string, message: ContactCheck | LoanMessage) => void;
};

/** The retry budgets of this host and its loans. */
export class SharedRetries {
	readonly budgets: RetryBudgets;
	readonly loans: RetryLoans;
	readonly #announcement: HostAnnouncement;

	/**
	 * @param options - This host, the others and the limit.
	 */
	constructor(options: SharedRetriesOptions) {
		const {log, getLimit} = options;
		this.#announcement = new HostAnnouncement(options);
		const part = new RetryPartTracker({
			...options,
			announcement: this.#announcement,
			onChange(changed) {
				log.write('part of the retry budget changed', changed);
			},
		});
		this.budgets = new RetryBudgets({
			getLimit,
			getPart: (windowMs) => part.getPart(windowMs),
		});
		this.loans = new RetryLoans({
			...options,
			getBudget: (service) => this.budgets.get(service),
		});
	}

	/** Starts to make this host known. */
	start(): void {
		this.#announcement.start();
	}

	/** Stops to make this host known. */
	stop(): void {
		this.#announcement.stop();
	}

	/**
	 * Notes whether a message proves that its sender knows this host.
	 *
	 * @param message - A message that is not about loans.
	 * @param sender - The address of the other host.
	 */
	addEvidence(message: Pick<AllotmentMessage, 'method'>, sender: string): void {
		if (isReply(message)) {
			this.#announcement.recordReply(sender);
		}
	}
}

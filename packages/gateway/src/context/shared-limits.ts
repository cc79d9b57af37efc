/** Wires up the limits that all hosts keep together: the retry budgets, the limits of cold targets and those that targets name. */

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
import {HostPlaces} from '../fleet/host-places.js';
import type {HostPlace} from '../limits/get-rate-share.js';
import {LimitShares} from '../limits/limit-shares.js';
import type {LoanMessage} from '../limits/loan-message.js';
import type {RetryBudgetLimit} from '../limits/retry-budget.js';
import {RetryBudgets} from '../limits/retry-budgets.js';
import {RetryLoans} from '../limits/retry-loans.js';
import {RetryPartTracker, type RetryPartOptions} from '../limits/retry-part.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {permitSpanMs, type WarmUpBound} from '../warm-up/warm-up-bound.js';
import {WarmUpLimiter} from '../warm-up/warm-up-limiter.js';
import type {WarmUpMessage} from '../warm-up/warm-up-message.js';

/** This host, the others and the limits. */
export type SharedLimitsOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Pick<EventLog, 'write'>;
	readonly metrics: Pick<
		GatewayMetrics,
		'recordRetryLoan' | 'recordWarmUpPermit'
	>;
	/** The IP address of this host. */
	readonly self: string;
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
	/** Gets the other hosts that gossip has brought lately; the same array until one is added or removed. */
	readonly getKnownPeers: () => readonly HostPlace[];
	readonly getRetryLimit: () => RetryBudgetLimit;
	readonly getWarmUpBound: () => WarmUpBound;
	/** Gets how many requests a second a cold target of a service bears; undefined if the plan in force does not have the service. */
	readonly getWarmUpRate: (service: ServiceName) => number | undefined;
	readonly send: (
		address: string,
		message: ContactCheck | LoanMessage | WarmUpMessage,
	) => void;
};

/** Requests of a previous run count against the limits of targets for less than the time in which a host becomes known, in milliseconds. */
const limitSpanMs = 0;

/** This host's parts of the limits, and what it exchanges with other hosts about them. */
export class SharedLimits {
	readonly budgets: RetryBudgets;
	readonly loans: RetryLoans;
	readonly warmUp: WarmUpLimiter;
	/** The parts of the limits that targets name. */
	readonly shares: LimitShares;
	readonly #announcement: HostAnnouncement;

	/**
	 * @param options - This host, the others and the limits.
	 */
	constructor(options: SharedLimitsOptions) {
		const {log, self, dataCentre, directory} = options;
		const {getRetryLimit, getWarmUpBound, getWarmUpRate} = options;
		this.#announcement = new HostAnnouncement(options);
		const makePart = (
			limit: string,
			announcement: RetryPartOptions['announcement'],
		) =>
			new RetryPartTracker({
				...options,
				announcement,
				onChange(changed) {
					log.write(`part of the ${limit} changed`, changed);
				},
			});
		const retryPart = makePart('retry budget', this.#announcement);
		this.budgets = new RetryBudgets({
			getLimit: getRetryLimit,
			getPart: (windowMs) => retryPart.getPart(windowMs),
		});
		this.loans = new RetryLoans({
			...options,
			getBudget: (service) => this.budgets.get(service),
			hasService: (service) => getWarmUpRate(service) !== undefined,
		});
		// Limits of targets are in use at once, so they don't wait for hosts that can't be reached.
		const announcement = this.#announcement;
		const reachable = {
			get isComplete() {
				return announcement.hasReachedAll;
			},
		};
		const warmUpPart = makePart('warm-up limits', reachable);
		this.warmUp = new WarmUpLimiter({
			...options,
			getHosts: () => directory.getHosts(),
			mayHold: () => warmUpPart.getPart(permitSpanMs).hasSlack,
			getPerSecond: getWarmUpRate,
			getBound: getWarmUpBound,
		});
		const sharesPart = makePart('limits of targets', reachable);
		const places = new HostPlaces({
			getHosts: () => directory.getHosts(),
			getPeers: options.getKnownPeers,
		});
		this.shares = new LimitShares({
			random: options.random,
			self: {address: self, dataCentre},
			getPeers: () => places.getPlaces(),
			mayHold: () => sharesPart.getPart(limitSpanMs).hasSlack,
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

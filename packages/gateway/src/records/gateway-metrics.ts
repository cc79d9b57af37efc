/** Prometheus counters and histograms of the gateway. */

import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {processByteBudget} from '@bilberryscale/daemon/edge';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {SnapshotMetrics} from './snapshot-metrics.js';

/** Upper bounds of the latency buckets, in seconds. */
const latencyBucketsSeconds = [
	0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10,
];
const msPerSecond = 1000;
const bytesPerKilobyte = 1024;

/** Registers and updates the metrics of the gateway. */
export class GatewayMetrics {
	readonly #registry = new Registry();
	/** The metrics of the published knowledge. */
	readonly snapshot = new SnapshotMetrics(this.#registry);
	readonly #requests = new Counter({
		name: 'bilberryscale_requests_total',
		help: 'Requests by route and outcome',
		labelNames: ['route', 'outcome'],
		registers: [this.#registry],
	});

	readonly #requestSeconds = new Histogram({
		name: 'bilberryscale_request_seconds',
		help: 'Time from the request to its answer',
		labelNames: ['route'],
		buckets: latencyBucketsSeconds,
		registers: [this.#registry],
	});

	readonly #attempts = new Counter({
		name: 'bilberryscale_sends_total',
		help: 'Sends to targets by outcome',
		labelNames: ['outcome'],
		registers: [this.#registry],
	});

	readonly #attemptSeconds = new Histogram({
		name: 'bilberryscale_send_seconds',
		help: 'Time from a send to its end',
		buckets: latencyBucketsSeconds,
		registers: [this.#registry],
	});

	readonly #targetNotices = new Counter({
		name: 'bilberryscale_target_notices_total',
		help: 'Targets that said in a response that they leave or pause',
		labelNames: ['notice'],
		registers: [this.#registry],
	});

	readonly #forwards = new Counter({
		name: 'bilberryscale_forwards_total',
		help: 'Requests sent through another host by result',
		labelNames: ['result'],
		registers: [this.#registry],
	});

	readonly #allotmentRefusals = new Counter({
		name: 'bilberryscale_allotment_refusals_total',
		help: 'Requests over the rate limit of their client account',
		labelNames: ['account'],
		registers: [this.#registry],
	});

	readonly #allotmentGrants = new Counter({
		name: 'bilberryscale_allotment_granted_total',
		help: 'Tokens that this host has granted, by client account and role',
		labelNames: ['account', 'role'],
		registers: [this.#registry],
	});

	readonly #allotmentAllowed = new Counter({
		name: 'bilberryscale_allotment_allowed_total',
		help: 'Tokens that the rate allowed while this host granted it, by client account',
		labelNames: ['account'],
		registers: [this.#registry],
	});

	readonly #allotmentRedirects = new Counter({
		name: 'bilberryscale_allotment_redirects_total',
		help: 'Token requests for which another host has to be asked',
		registers: [this.#registry],
	});

	readonly #silentHosts = new Counter({
		name: 'bilberryscale_silent_hosts_total',
		help: 'Hosts that have left messages about rate limits unanswered',
		registers: [this.#registry],
	});

	readonly #waitingRequests = new Gauge({
		name: 'bilberryscale_waiting_requests',
		help: 'Requests that wait at this host for a target, by service and priority',
		labelNames: ['service', 'priority'],
		registers: [this.#registry],
	});

	readonly #rankRefusals = new Counter({
		name: 'bilberryscale_refusals_total',
		help: 'Requests for which no target was found in time, by service and priority',
		labelNames: ['service', 'priority'],
		registers: [this.#registry],
	});

	readonly #utilization = new Gauge({
		name: 'bilberryscale_service_utilization',
		help: 'Estimated share of the slots in use, for services with several priorities',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #farProbes = new Counter({
		name: 'bilberryscale_far_probes_total',
		help: 'Probes of targets in other data centres',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #farSends = new Counter({
		name: 'bilberryscale_far_sends_total',
		help: 'Requests sent to targets in other data centres',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #returnTimes = new Counter({
		name: 'bilberryscale_returns_total',
		help: 'Refused callers by service, priority and the return time that they were promised',
		labelNames: ['service', 'priority', 'result'],
		registers: [this.#registry],
	});

	readonly #hedges = new Counter({
		name: 'bilberryscale_hedges_total',
		help: 'Second copies of requests by event: sent, or won the race against the first',
		labelNames: ['event'],
		registers: [this.#registry],
	});

	readonly #hedgeObstacles = new Counter({
		name: 'bilberryscale_hedge_obstacles_total',
		help: 'Second copies that were due but not sent, by reason',
		labelNames: ['reason'],
		registers: [this.#registry],
	});

	readonly #wastedMs = new Counter({
		name: 'bilberryscale_hedge_wasted_milliseconds_total',
		help: 'Time that copies took which brought no answer, from the send to their end',
		registers: [this.#registry],
	});

	readonly #accountRefusals = new Counter({
		name: 'bilberryscale_account_refusals_total',
		help: 'Requests refused on arrival for their key by reason',
		labelNames: ['reason'],
		registers: [this.#registry],
	});

	readonly #retryDecisions = new Counter({
		name: 'bilberryscale_retry_decisions_total',
		help: 'Requests that were to be sent to another target, by service and by whether the retry budget allowed it',
		labelNames: ['service', 'decision'],
		registers: [this.#registry],
	});

	readonly #retryTokens = new Gauge({
		name: 'bilberryscale_retry_tokens',
		help: 'Retries that this host may send now, by service',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #retryCapacity = new Gauge({
		name: 'bilberryscale_retry_capacity',
		help: 'The most retries that this host may save up, by service',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #retryLoans = new Counter({
		name: 'bilberryscale_retry_loans_total',
		help: 'Retries lent to and borrowed from other hosts, by service',
		labelNames: ['service', 'direction'],
		registers: [this.#registry],
	});

	readonly #warmUpPermits = new Counter({
		name: 'bilberryscale_warm_up_permits_total',
		help: 'Permits to send requests to cold targets, by service and result',
		labelNames: ['service', 'result'],
		registers: [this.#registry],
	});

	readonly #warmUpLimit = new Gauge({
		name: 'bilberryscale_warm_up_limit',
		help: 'Requests per second that a cold target of the service bears from all hosts together',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #warmUpPart = new Gauge({
		name: 'bilberryscale_warm_up_part',
		help: 'The part of it that this host holds for the target of its last permit; 0 for none',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #coldSends = new Counter({
		name: 'bilberryscale_cold_sends_total',
		help: 'Requests that were written to targets that warm up, by service',
		labelNames: ['service'],
		registers: [this.#registry],
	});

	readonly #floods = new Counter({
		name: 'bilberryscale_target_floods_total',
		help: 'Connections that were closed because a target sent bytes without end, by what it sent',
		labelNames: ['kind'],
		registers: [this.#registry],
	});

	readonly #heldBytes = new Gauge({
		name: 'bilberryscale_held_bytes',
		help: 'Memory that requests and responses hold, and its limit',
		labelNames: ['kind'],
		registers: [this.#registry],
	});

	readonly #revocations = new Gauge({
		name: 'bilberryscale_revoked_requests',
		help: 'Requests that were ended since the start because all together held too much memory',
		registers: [this.#registry],
	});

	readonly #memory = new Gauge({
		name: 'bilberryscale_process_memory_bytes',
		help: 'Memory of the process: resident now, the peak of that, the heap in use, and buffers outside of the heap',
		labelNames: ['kind'],
		registers: [this.#registry],
	});

	readonly #loopUtilization = new Gauge({
		name: 'bilberryscale_loop_utilization',
		help: 'Share of the time since the last export in which the event loop was busy',
		registers: [this.#registry],
	});

	#loopReading = performance.eventLoopUtilization();

	/** Gets the content type of the exported text. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	/**
	 * Records a completed request.
	 *
	 * @param route - The name of its route.
	 * @param outcome - How it ended.
	 * @param durationMs - How long it took; undefined if it had no route.
	 */
	recordRequest(
		route: string,
		outcome: string,
		durationMs: number | undefined,
	): void {
		this.#requests.inc({route, outcome});
		if (durationMs !== undefined) {
			this.#requestSeconds.observe({route}, durationMs / msPerSecond);
		}
	}

	/**
	 * Records an attempt.
	 *
	 * @param outcome - How it ended.
	 * @param durationMs - How long it took.
	 */
	recordAttempt(outcome: string, durationMs: number): void {
		this.#attempts.inc({outcome});
		this.#attemptSeconds.observe(durationMs / msPerSecond);
	}

	/**
	 * Records whether a request may be sent to another target.
	 *
	 * @param service - The service.
	 * @param isAllowed - Whether the retry budget allowed it.
	 */
	recordRetryDecision(service: string, isAllowed: boolean): void {
		const decision = isAllowed ? 'allowed' : 'denied';
		this.#retryDecisions.inc({service, decision});
	}

	/**
	 * Records what this host may spend of the retry budget.
	 *
	 * @param service - The service.
	 * @param tokens - The retries that it may send now.
	 * @param capacity - The most that it may save up.
	 */
	recordRetryTokens(service: string, tokens: number, capacity: number): void {
		this.#retryTokens.set({service}, tokens);
		this.#retryCapacity.set({service}, capacity);
	}

	/**
	 * Records retries that one host has given to another.
	 *
	 * @param service - The service.
	 * @param direction - Whether this host has lent or borrowed them.
	 * @param amount - How many; may be a fraction.
	 */
	recordRetryLoan(
		service: string,
		direction: 'lent' | 'borrowed',
		amount: number,
	): void {
		this.#retryLoans.inc({service, direction}, amount);
	}

	/**
	 * Records what has become of a permit to send a request to a cold target.
	 *
	 * @param service - The service.
	 * @param result - Taken of this host's part or of what another host gave, given to another host, or not given.
	 * @param limit - The rate for all hosts together and this host's part, per second.
	 */
	recordWarmUpPermit(
		service: string,
		result: string,
		{
			perSecond,
			ownPerSecond,
		}: {readonly perSecond: number; readonly ownPerSecond: number},
	): void {
		this.#warmUpPermits.inc({service, result});
		this.#warmUpLimit.set({service}, perSecond);
		this.#warmUpPart.set({service}, ownPerSecond);
	}

	/**
	 * Records a request that was written to a target that warms up.
	 *
	 * @param service - The service.
	 */
	recordColdSend(service: string): void {
		this.#coldSends.inc({service});
	}

	/**
	 * Records that a target has announced that it accepts no more requests.
	 *
	 * @param notice - Whether it leaves or pauses.
	 */
	recordTargetNotice(notice: string): void {
		this.#targetNotices.inc({notice});
	}

	/**
	 * Records a connection that was closed because its target sent bytes without end.
	 *
	 * @param kind - What it sent.
	 */
	recordFlood(kind: string): void {
		this.#floods.inc({kind});
	}

	/**
	 * Records a request that was sent through another host.
	 *
	 * @param result - How it ended.
	 */
	recordForward(result: string): void {
		this.#forwards.inc({result});
	}

	/**
	 * Records a request that was refused because of the rate limit of its client account.
	 *
	 * @param account - The name of the account.
	 */
	recordAllotmentRefusal(account: string): void {
		this.#allotmentRefusals.inc({account});
	}

	/**
	 * Records tokens that this host has granted.
	 *
	 * @param account - The name of the account.
	 * @param role - Why this host grants them.
	 * @param count - The number of tokens.
	 */
	recordAllotmentGrant(account: string, role: string, count: number): void {
		this.#allotmentGrants.inc({account, role}, count);
	}

	/**
	 * Records tokens that the rate of an account allowed.
	 *
	 * @param account - The name of the account.
	 * @param count - The number of tokens.
	 */
	recordAllotmentAllowed(account: string, count: number): void {
		this.#allotmentAllowed.inc({account}, count);
	}

	/** Records a token request for which another host has to be asked. */
	recordAllotmentRedirect(): void {
		this.#allotmentRedirects.inc();
	}

	/** Records that another host has left a message about rate limits unanswered. */
	recordSilentHost(): void {
		this.#silentHosts.inc();
	}

	/**
	 * Records how many requests wait for a target.
	 *
	 * @param service - Their service.
	 * @param priority - Their priority.
	 * @param count - The number of requests.
	 */
	recordWaitingCount(service: string, priority: number, count: number): void {
		this.#waitingRequests.set({service, priority}, count);
	}

	/**
	 * Records a request for which no target was found in time.
	 *
	 * @param service - Its service.
	 * @param priority - Its priority.
	 */
	recordRankRefusal(service: string, priority: number): void {
		this.#rankRefusals.inc({service, priority});
	}

	/**
	 * Records the estimated utilization of a service.
	 *
	 * @param service - The service.
	 * @param utilization - The share of its slots in use, from 0 to 1.
	 */
	recordUtilization(service: string, utilization: number): void {
		this.#utilization.set({service}, utilization);
	}

	/**
	 * Records probes of targets in other data centres.
	 *
	 * @param service - The service.
	 * @param count - The number of probes.
	 */
	recordFarProbes(service: string, count: number): void {
		this.#farProbes.inc({service}, count);
	}

	/**
	 * Records a request that is sent to a target in another data centre.
	 *
	 * @param service - The service.
	 */
	recordFarSend(service: string): void {
		this.#farSends.inc({service});
	}

	/**
	 * Records when a refused caller was told to return.
	 *
	 * @param service - The service.
	 * @param priority - The effective priority of its request.
	 * @param result - The kind of time that it was promised.
	 */
	recordReturnTime(service: string, priority: number, result: string): void {
		this.#returnTimes.inc({service, priority, result});
	}

	/** Records that a second copy of a request was sent. */
	recordHedgeSent(): void {
		this.#hedges.inc({event: 'sent'});
	}

	/**
	 * Records that a second copy was due but not sent.
	 *
	 * @param reason - The reason.
	 */
	recordHedgeObstacle(reason: string): void {
		this.#hedgeObstacles.inc({reason});
	}

	/**
	 * Records how two copies of a request have ended.
	 *
	 * @param hasWon - Whether the second one won.
	 * @param wastedMs - The time of the copies that brought no answer, in milliseconds.
	 */
	recordHedgeResult(hasWon: boolean, wastedMs: number): void {
		this.#hedges.inc({event: 'won'}, hasWon ? 1 : 0);
		this.#wastedMs.inc(wastedMs);
	}

	/**
	 * Records a request that was refused on arrival for its key.
	 *
	 * @param reason - What was wrong with it.
	 */
	recordAccountRefusal(reason: string): void {
		this.#accountRefusals.inc({reason});
	}

	/**
	 * Exports all metrics.
	 *
	 * @returns The metrics in the Prometheus text format.
	 */
	async getText(): Promise<string> {
		this.#recordProcess();
		return this.#registry.metrics();
	}

	/** Records what the process uses; read only for an export, because it takes system calls. */
	#recordProcess(): void {
		const {rss, heapUsed, external} = process.memoryUsage();
		this.#memory.set({kind: 'resident'}, rss);
		this.#memory.set(
			{kind: 'resident-peak'},
			process.resourceUsage().maxRSS * bytesPerKilobyte,
		);
		this.#memory.set({kind: 'heap'}, heapUsed);
		this.#memory.set({kind: 'external'}, external);
		const {heldBytes, limitBytes, revokedCount} = processByteBudget;
		this.#heldBytes.set({kind: 'held'}, heldBytes);
		this.#heldBytes.set({kind: 'limit'}, limitBytes);
		this.#revocations.set(revokedCount);
		const reading = performance.eventLoopUtilization();
		const {utilization} = performance.eventLoopUtilization(
			reading,
			this.#loopReading,
		);
		this.#loopReading = reading;
		this.#loopUtilization.set(utilization);
	}
}

/** Sends requests through other hosts while this one reaches no target. */

import {
	errorResponses,
	makeId,
	type Clock,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import type {CallerProtocol, SentCopy} from '@bilberryscale/daemon/edge';
import {getHostAccountHeaders} from '../accounts/account-headers.js';
import {probeTargets} from '../choice/probe-targets.js';
import {TargetProbe} from '../choice/target-probe.js';
import type {HostPlace} from '../limits/get-rate-share.js';
import type {TargetIncarnation} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {mayHaveRun, type AttemptResult} from '../relay/attempt-result.js';
import type {RoutedRequest} from '../relay/request-reader.js';
import {SilenceDetector} from '../relay/silence-detector.js';
import {TargetAttempt} from '../relay/target-attempt.js';
import {addCopy, settleCopy} from '../relay/unsettled-copies.js';
import {ConnectionPool} from '../targets/connection-pool.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import {TargetState} from '../targets/target-state.js';
import {
	forwardingHealthPath,
	makeForwardingProtocol,
	readForwardedCopies,
	sentCopiesHeader,
	uncountedHeader,
	unsettledCopiesHeader,
	type ForwardedRequest,
} from './forwarding-protocol.js';

/** This host, the others and the protocols. */
export type ForwarderOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	/** The IP address of this host. */
	readonly localAddress: string;
	/** The port on which hosts accept forwarded requests. */
	readonly port: number;
	/**
	 * Gets the other hosts that are considered up.
	 *
	 * @returns The hosts in random order.
	 */
	readonly getPeers: () => readonly HostPlace[];
	readonly callerProtocol: CallerProtocol;
	readonly targetProtocol: TargetProtocol;
	readonly isShuttingDown: () => boolean;
	/** Whether the plan in force has client accounts. */
	readonly hasAccounts: () => boolean;
};

/** The result of a request at another host. */
export type ForwardedResult = {
	readonly result: AttemptResult;
	/** How many targets may have run the request there, beyond the one that the result stands for. */
	readonly otherExecutions: number;
};

/** How many hosts are asked at once whether they take a request. */
const probedHostCount = 4;
/** How often hosts are asked for one request. */
const maxProbeRounds = 3;
/** How many hosts a request is sent to if they refuse it at once. */
const maxHostsPerRequest = 3;
/** A host that refuses a request within this time, in milliseconds, and has sent it to no target can't take any request. */
const immediateRefusalMs = 100;
/** How long a host that takes no requests is not asked again, in milliseconds. */
const unavailableAvoidMs = 500;
/** Maximum age of a host's word that it takes requests, in milliseconds; short for requests that cannot be repeated if the host is gone. */
const maxHealthAgeMs = {idempotent: 1000, nonIdempotent: 50};
/** Maximum idle time of a reused connection, in milliseconds. */
const maxIdleMs = {idempotent: 5000, nonIdempotent: 150};
const maxConnectionsPerHost = 32;
const keyRefusedStatus = errorResponses['account-unknown'].status;
/** Requests are spread by how many a host works on; this number has no other effect. */
const assumedSlots = 64;

/** Finds hosts that reach the targets and sends requests to them. */
export class Forwarder {
	readonly #options: ForwarderOptions;
	readonly #states = new Map<string, TargetState>();
	readonly #probeProtocol: TargetProtocol;
	readonly #silenceDetector: SilenceDetector;

	/**
	 * @param options - This host, the others and the protocols.
	 */
	constructor(options: ForwarderOptions) {
		this.#options = options;
		const {clock, log, isShuttingDown} = options;
		this.#probeProtocol = this.#makeProtocol(1);
		this.#silenceDetector = new SilenceDetector({
			clock,
			probe: (state) => {
				new TargetProbe({
					state,
					healthPath: forwardingHealthPath,
					protocol: this.#probeProtocol,
					clock,
					log,
					onNotice: () => undefined,
					onEnd: () => undefined,
				}).start();
			},
			isPaused: isShuttingDown,
		});
	}

	/**
	 * Sends a request through another host. The next one is tried if a host
	 * can't be reached, or refuses it at once without sending it to a target:
	 * another send would be a retry, for which that host has its budget.
	 *
	 * @param request - The request.
	 * @param forwarding - What the other host has to know of it.
	 * @returns The result of the first host that has tried to serve it; undefined if none has.
	 */
	async forward(
		request: RoutedRequest,
		forwarding: ForwardedRequest,
	): Promise<ForwardedResult | undefined> {
		const {clock} = this.#options;
		const tried = new Set<TargetState>();
		let keyRefusal: ForwardedResult | undefined;
		while (tried.size < maxHostsPerRequest) {
			const state = await this.#findHost(request.route.isIdempotent, tried);
			if (state === undefined || request.exchange.isTooLate?.() === true) {
				return keyRefusal;
			}

			tried.add(state);
			const startedAtMs = clock.monotonicMs();
			const result = await this.#send(request, state, forwarding);
			if (
				result !== undefined &&
				!isNextWorthTrying(result, clock.monotonicMs() - startedAtMs)
			) {
				return readForwardedResult(result, forwarding);
			}

			if (result?.kind === 'refused' && result.status === keyRefusedStatus) {
				// The host serves other requests; it may have read another version of the plan.
				keyRefusal = {result, otherExecutions: 0};
			} else {
				state.avoidUntilMs = clock.monotonicMs() + unavailableAvoidMs;
			}
		}

		return keyRefusal;
	}

	/** Closes all connections. */
	close(): void {
		for (const {pool} of this.#states.values()) {
			pool.close();
		}
	}

	/** Returns undefined if all connections to the host are busy. */
	async #send(
		request: RoutedRequest,
		state: TargetState,
		{attemptsLeft, isCounted}: ForwardedRequest,
	): Promise<AttemptResult | undefined> {
		const {clock, log, metrics} = this.#options;
		const {exchange, route, body, deadlineMs, hasAccounts} = request;
		const connection = state.pool.acquire(
			route.isIdempotent ? maxIdleMs.idempotent : maxIdleMs.nonIdempotent,
		);
		if (connection === undefined) {
			return undefined;
		}

		const startedAtMs = clock.monotonicMs();
		const protocol = this.#makeProtocol(attemptsLeft);
		const {headers} = exchange.incoming;
		state.addSend();
		const copy: SentCopy = {
			to: state.registration.address,
			expectedMs: exchange.getExpectedMs?.() ?? 0,
		};
		addCopy(exchange, copy);
		const result = await new TargetAttempt({
			incoming: exchange.incoming,
			body,
			state,
			connection,
			protocol,
			clock,
			deadlineMs,
			accountHeaders: {
				...(hasAccounts &&
					getHostAccountHeaders(protocol, headers[protocol.credentialHeader])),
				[uncountedHeader]: isCounted ? undefined : '1',
			},
			onNotice: () => undefined,
			silenceDetector: route.isIdempotent ? this.#silenceDetector : undefined,
			stallTimeoutMs: undefined,
			secureRetry: async () => false,
			isTooLate: exchange.isTooLate,
			onWrite(writtenAtMs) {
				copy.writtenAtMs = writtenAtMs;
			},
		}).run();
		settleCopy(exchange, result);
		metrics.recordForward(result.kind);
		log.write('request forwarded', {
			requestId: exchange.incoming.requestId,
			to: state.registration.address,
			durationMs: Math.round(clock.monotonicMs() - startedAtMs),
			outcome: result.kind,
			...(result.kind === 'failed' && {
				cause: result.cause,
				mayHaveRun: result.mayHaveRun,
			}),
		});
		return result;
	}

	/** Finds a host that takes requests, asking some if none is known. */
	async #findHost(
		isIdempotent: boolean,
		tried: ReadonlySet<TargetState>,
	): Promise<TargetState | undefined> {
		const {clock, log} = this.#options;
		const maxAgeMs = isIdempotent
			? maxHealthAgeMs.idempotent
			: maxHealthAgeMs.nonIdempotent;
		for (let round = 0; round < maxProbeRounds; round++) {
			const known = this.#getAvailableHost(maxAgeMs, tried);
			if (known !== undefined) {
				return known;
			}

			const states = this.#sampleHosts(tried);
			if (states.length === 0) {
				return undefined;
			}

			await probeTargets({
				states,
				healthPath: forwardingHealthPath,
				protocol: this.#probeProtocol,
				clock,
				log,
				onNotice: () => undefined,
			});
			for (const state of states) {
				if (state.health?.isHealthy === false) {
					state.avoidUntilMs = clock.monotonicMs() + unavailableAvoidMs;
				}
			}
		}

		return this.#getAvailableHost(maxAgeMs, tried);
	}

	/** Gets the host with the fewest requests of those that lately said that they take requests. */
	#getAvailableHost(
		maxAgeMs: number,
		tried: ReadonlySet<TargetState>,
	): TargetState | undefined {
		const nowMs = this.#options.clock.monotonicMs();
		return [...this.#states.values()]
			.filter(
				(state) =>
					state.health?.isHealthy === true &&
					nowMs - state.health.receivedAtMs <= maxAgeMs &&
					isUsable(state, nowMs) &&
					!tried.has(state),
			)
			.toSorted((a, b) => a.load - b.load)[0];
	}

	/** Chooses hosts to ask, first those that lately took requests. */
	#sampleHosts(tried: ReadonlySet<TargetState>): TargetState[] {
		const {clock, getPeers} = this.#options;
		const nowMs = clock.monotonicMs();
		return getPeers()
			.map((peer) => this.#getState(peer))
			.filter((state) => isUsable(state, nowMs) && !tried.has(state))
			.toSorted((a, b) => getHealthRank(a) - getHealthRank(b))
			.slice(0, probedHostCount);
	}

	#getState({address, dataCentre}: HostPlace): TargetState {
		const existing = this.#states.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const {clock, log, metrics, localAddress, port} = this.#options;
		const state = new TargetState({
			registration: {
				id: makeId<TargetId>(address),
				incarnation: makeId<TargetIncarnation>(address),
				service: makeId<ServiceName>('hosts'),
				address,
				port,
				dataCentre,
				slots: assumedSlots,
				sequence: 0,
				isDraining: false,
				remainingWarmUpMs: 0,
			},
			pool: new ConnectionPool({
				clock,
				origin: `http://${address}:${port}`,
				localAddress,
				getMaxSize: () => maxConnectionsPerHost,
				onFlood({kind, bytes}) {
					metrics.recordFlood(kind);
					const pauseMs = state.floodPause.addFlood(clock.monotonicMs());
					if (pauseMs !== undefined) {
						log.write('host flooded', {address, kind, bytes, pauseMs});
					}
				},
			}),
			nowMs: clock.monotonicMs(),
		});
		this.#states.set(address, state);
		return state;
	}

	#makeProtocol(attemptsLeft: number): TargetProtocol {
		const {targetProtocol, callerProtocol, hasAccounts} = this.#options;
		return makeForwardingProtocol(
			targetProtocol,
			callerProtocol.runStateHeader,
			attemptsLeft,
			hasAccounts,
		);
	}
}

function isUsable(
	{avoidUntilMs, floodPause}: TargetState,
	nowMs: number,
): boolean {
	return Math.max(avoidUntilMs, floodPause.untilMs) <= nowMs;
}

function getHealthRank({health}: TargetState): number {
	return health?.isHealthy === true ? 0 : 1;
}

function isNextWorthTrying(result: AttemptResult, durationMs: number): boolean {
	if (result.kind === 'refused') {
		const wasSent = readForwardedCopies(result.headers)?.sent !== 0;
		return (
			result.status === keyRefusedStatus ||
			(!wasSent && durationMs < immediateRefusalMs)
		);
	}

	return result.kind === 'failed' && result.cause === 'unreachable';
}

/** Takes the other host's figures out of a result. If they are unknown, it may have used all attempts. */
function readForwardedResult(
	result: AttemptResult,
	{attemptsLeft}: ForwardedRequest,
): ForwardedResult {
	if (!mayHaveRun(result)) {
		return {result, otherExecutions: 0};
	}

	if (result.kind !== 'answered') {
		return {result, otherExecutions: attemptsLeft - 1};
	}

	const {answer} = result;
	const unsettled =
		readForwardedCopies(answer.headers)?.unsettled ?? attemptsLeft;
	const headers = {...answer.headers};
	Reflect.deleteProperty(headers, sentCopiesHeader);
	Reflect.deleteProperty(headers, unsettledCopiesHeader);
	return {
		result: {kind: 'answered', answer: {...answer, headers}},
		otherExecutions: Math.max(0, unsettled - 1),
	};
}

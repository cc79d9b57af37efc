/** The one context of a gateway process: it builds and owns all objects. */

import {makeSeededRandom, type Clock} from '@bilberryscale/core';
import {
	makeCallerListener,
	takeArrived,
	type CallerProtocol,
} from '@bilberryscale/daemon/edge';
import {CrashSuspects} from '@bilberryscale/decisions';
import {TargetProbe} from '../choice/target-probe.js';
import type {CallerEdge} from '../edge/caller-edge.js';
import {TextServer} from '../edge/text-server.js';
import {Fleet} from '../fleet/fleet.js';
import {KnowledgeFeed} from '../knowledge/knowledge-feed.js';
import type {
	FactDecoder,
	PublishedReader,
} from '../knowledge/published-reader.js';
import type {Knowledge} from '../plan/knowledge.js';
import {PlanHolder} from '../plan/plan-holder.js';
import {RouteTable} from '../plan/route-table.js';
import type {EventLog} from '../records/event-log.js';
import {GatewayMetrics} from '../records/gateway-metrics.js';
import {TargetRegistry} from '../targets/target-registry.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import {CrashDesk} from './crash-desk.js';
import type {GatewaySettings} from './gateway-settings.js';
import {LiveSettings, type SettingsChange} from './live-settings.js';
import {makeRelay} from './make-relay.js';

/** What a gateway host is built from. */
export type GatewayHostOptions = {
	readonly settings: GatewaySettings;
	readonly clock: Clock;
	readonly seed: number;
	readonly log: EventLog;
	/** Where callers come in; it listens already. */
	readonly callers: CallerEdge;
	/** The store, or what stands for it. */
	readonly store: PublishedReader;
	readonly decode: FactDecoder;
	readonly callerProtocol: CallerProtocol;
	readonly targetProtocol: TargetProtocol;
};

/** A balancer asks once a second and gives a host up after two misses, in milliseconds. */
const balancerNoticeMs = 2600;
/** Left of the time for a stop when the last requests are cut, in milliseconds. */
const stopReserveMs = 800;
const pollMs = 50;
const okStatus = 200;
const unavailableStatus = 503;

/** A gateway host: its servers, its knowledge and its state. */
export class GatewayHost {
	readonly #options: GatewayHostOptions;
	readonly #settings: LiveSettings;
	readonly #metrics = new GatewayMetrics();
	readonly #fleet: Fleet;
	readonly #suspects = new CrashSuspects();
	readonly #crashes: CrashDesk;
	readonly #feed: KnowledgeFeed;
	readonly #book;
	readonly #plans: PlanHolder;
	readonly #readiness;
	readonly #metricsServer;
	#targetCount = 0;
	#openCalls = 0;
	#isLeaving = false;
	#isReady = false;
	#isCaughtUp = false;

	/**
	 * @param options - The settings and what surrounds the host.
	 */
	constructor(options: GatewayHostOptions) {
		this.#options = options;
		this.#settings = new LiveSettings(options.settings);
		const {clock, settings, log, decode, store} = options;
		const random = makeSeededRandom(options.seed);
		this.#plans = new PlanHolder(clock);
		this.#crashes = new CrashDesk({
			clock,
			log,
			suspects: this.#suspects,
			ask: (state, onEnd) => {
				this.#ask(state, onEnd);
			},
			tell: (notice) => {
				this.#fleet.tellCrash(notice);
			},
		});
		this.#fleet = new Fleet({
			settings,
			getSeeds: () => this.#settings.current.seeds,
			clock,
			random,
			log,
			store,
			getFeed: () => this.#feed,
			onCrash: (notice) => {
				this.#crashes.take(notice);
			},
			onFailure: (life) => {
				this.#book.addRemoteFailure(life);
			},
		});
		this.#feed = new KnowledgeFeed({
			clock,
			random,
			log,
			metrics: this.#metrics,
			decode,
			getReaders: (hasKnowledge) => this.#fleet.getReaders(hasKnowledge),
			getHostCount: () => this.#fleet.hostCount,
			onKnowledge: (knowledge) => {
				this.#setKnowledge(knowledge);
			},
			onCaughtUp: () => {
				this.#isCaughtUp = true;
				this.#updateReadiness();
			},
		});
		const getHostCount = () => this.#fleet.hostCount;
		this.#book = new TargetRegistry({
			clock,
			localAddress: settings.callers.address,
			getHostCount,
		});
		const relay = makeRelay({
			clock,
			random,
			log,
			metrics: this.#metrics,
			settings: this.#settings,
			protocol: options.targetProtocol,
			book: this.#book,
			plans: this.#plans,
			suspects: this.#suspects,
			getHostCount,
			isLeaving: () => this.#isLeaving,
			ask: (state) => {
				this.#ask(state);
			},
			onBroken: (state, signature) => {
				this.#crashes.confirm(state, signature);
			},
			onFailure: (state) => {
				this.#fleet.tellFailure(state.registration.life);
			},
		});
		options.callers.serve(
			makeCallerListener({
				pipeline: async (exchange) => {
					this.#openCalls++;
					try {
						return await relay.run(exchange);
					} finally {
						this.#openCalls--;
					}
				},
				clock,
				log: {
					error(message: string, fields: Record<string, unknown>) {
						log.warn(message, fields);
					},
				},
				getClosedFailure: () => undefined,
				isLeaving: () => this.#isLeaving || this.#plans.plan === undefined,
				protocol: options.callerProtocol,
			}),
		);
		this.#readiness = new TextServer(() => ({
			status: this.#isReady ? okStatus : unavailableStatus,
			contentType: 'text/plain',
			text: this.#isReady ? 'ready\n' : 'not ready\n',
		}));
		this.#metricsServer = new TextServer(async () => ({
			status: okStatus,
			contentType: this.#metrics.contentType,
			text: await this.#metrics.getText(),
		}));
	}

	/** Starts to listen and to learn. */
	async start(): Promise<void> {
		const {settings, log} = this.#options;
		log.writeState('process started', {dataCentre: settings.dataCentre});
		void this.#feed.run();
		await this.#readiness.listen(settings.readiness);
		await this.#metricsServer.listen(settings.metrics);
		await this.#fleet.start();
	}

	/**
	 * Takes over settings that were read again, as far as that needs no restart.
	 *
	 * @param next - The settings.
	 * @returns What was taken over and what was not.
	 */
	takeSettings(next: GatewaySettings): SettingsChange {
		return this.#settings.take(next);
	}

	/**
	 * Leaves: stops being ready, serves on until the balancer knows, finishes
	 * every request and closes.
	 */
	async stop(): Promise<void> {
		const {clock, log} = this.#options;
		const {shutdownMs} = this.#settings.current;
		const timeMs = Math.max(0, shutdownMs - stopReserveMs);
		const endMs = clock.monotonicMs() + timeMs;
		this.#isLeaving = true;
		this.#isReady = false;
		log.writeState('process stopping', {openCalls: this.#openCalls});
		await this.#sleep(Math.min(balancerNoticeMs, timeMs));
		await takeArrived();
		this.#options.callers.close();
		while (this.#openCalls > 0 && clock.monotonicMs() < endMs) {
			await this.#sleep(pollMs);
			await takeArrived();
			this.#options.callers.closeIdle();
		}

		await this.#sleep(pollMs);
		log.writeState('process stopped', {openCalls: this.#openCalls});
		this.#feed.stop();
		this.#fleet.stop();
		this.#book.close();
		this.#readiness.close();
		this.#metricsServer.close();
	}

	#ask(state: TargetState, onEnd: () => void = () => undefined): void {
		const {clock, log, targetProtocol} = this.#options;
		const plan = this.#book.getServicePlan(state.registration.service);
		const inquiry = new TargetProbe({
			state,
			healthPath: plan?.healthPath ?? '/',
			protocol: targetProtocol,
			clock,
			log,
			onEnd,
		});
		inquiry.start();
	}

	#setKnowledge(knowledge: Knowledge): void {
		const {plan, targets, emptied} = knowledge;
		const {log, callers} = this.#options;
		const former = this.#plans.plan;
		this.#targetCount = targets.size;
		this.#book.setSnapshot(knowledge);
		if (plan !== undefined && plan.version !== former?.version) {
			log.writeState('plan in force', {
				version: plan.version,
				former: former?.version,
				routes: plan.routes.length,
				targets: targets.size,
				emptied: [...emptied],
			});
			callers.setTimeouts(plan.limits);
			this.#plans.setPlan({
				version: plan.version,
				table: new RouteTable(plan.routes),
				limits: plan.limits,
			});
		}

		this.#updateReadiness();
	}

	#updateReadiness(): void {
		const isReady =
			!this.#isLeaving &&
			this.#isCaughtUp &&
			this.#plans.plan !== undefined &&
			this.#targetCount > 0;
		if (isReady !== this.#isReady) {
			this.#isReady = isReady;
			this.#options.log.writeState(isReady ? 'ready' : 'not ready', {
				version: this.#plans.plan?.version,
				targets: this.#targetCount,
				knowledgeAgeMs: Math.round(this.#feed.ageMs),
			});
		}
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}
}

/** The composition root of a gateway process: builds and owns its objects. */

import {makeSeededRandom, type Clock} from '@bilberryscale/core';
import {
	makeCallerListener,
	makeShutdownFailure,
	processByteBudget,
	type CallerListener,
	type CallerProtocol,
	type Exchange,
	type FilterResult,
} from '@bilberryscale/daemon/edge';
import {CrashSuspects} from '@bilberryscale/decisions';
import {Err} from 'ts-results-es';
import {AllotmentGate} from '../accounts/allotment-gate.js';
import type {AllotmentMessage} from '../accounts/allotment-message.js';
import {defaultAllotmentBound} from '../accounts/allotment-tolerance.js';
import {getPrioritizedServices} from '../capacity/has-priority-classes.js';
import {AccountDirectory} from '../accounts/account-directory.js';
import {TargetProbe} from '../choice/target-probe.js';
import type {CallerServer} from '../edge/caller-server.js';
import {listenWhenFree} from '../edge/listen.js';
import {TextServer} from '../edge/text-server.js';
import {KnownHosts} from '../fleet/known-hosts.js';
import {Fleet} from '../fleet/fleet.js';
import {Forwarder} from '../forwarding/forwarder.js';
import {ForwardingServer} from '../forwarding/forwarding-server.js';
import {PathRecovery} from '../forwarding/path-recovery.js';
import type {ForwardedRequest} from '../forwarding/forwarding-protocol.js';
import type {SharedLimitMessage} from '../fleet/gossip.js';
import {defaultWarmUpBound} from '../warm-up/warm-up-bound.js';
import {FreshnessBudget} from '../snapshot/freshness-budget.js';
import {SnapshotFeed} from '../snapshot/snapshot-feed.js';
import type {
	ItemDecoder,
	ItemPreparation,
	SnapshotSource,
} from '../snapshot/snapshot-source.js';
import type {RoutingSnapshot} from '../plan/routing-snapshot.js';
import {PlanHolder} from '../plan/plan-holder.js';
import {RouteTable} from '../plan/route-table.js';
import type {EventLog} from '../records/event-log.js';
import {makePortWait} from '../records/make-port-wait.js';
import {GatewayMetrics} from '../records/gateway-metrics.js';
import {TargetRegistry} from '../targets/target-registry.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {Relay} from '../relay/relay.js';
import {getServiceRanks} from '../capacity/get-service-ranks.js';
import {ServiceCapacity} from '../capacity/service-capacity.js';
import {CrashDetector} from './crash-detector.js';
import {GracefulShutdown} from './graceful-shutdown.js';
import type {GatewaySettings} from './gateway-settings.js';
import {LiveSettings, type SettingsChange} from './live-settings.js';
import type {HedgingOptions} from './make-hedged-dispatcher.js';
import {makeRelay} from './make-relay.js';
import {SharedLimits} from './shared-limits.js';

/** The settings of a gateway host and its external dependencies. */
export type GatewayHostOptions = {
	readonly settings: GatewaySettings;
	readonly clock: Clock;
	readonly seed: number;
	readonly log: EventLog;
	/** The server for callers, which already listens. */
	readonly callerServer: CallerServer;
	/** The reader of the store with the published items. */
	readonly store: SnapshotSource;
	/** Another one with a connection of its own, which does not wait for reads of the first. */
	readonly directStore: SnapshotSource;
	readonly decode: ItemDecoder;
	/** Decodes large items ahead; undefined if the decoder never takes long. */
	readonly prepareItem?: ItemPreparation;
	readonly callerProtocol: CallerProtocol;
	readonly targetProtocol: TargetProtocol;
	/** How hedged requests are sent; undefined for none. */
	readonly hedging?: HedgingOptions | undefined;
};

/** Targets that are probed to tell a crashed target from lost links. */
const linkCheckTargets = 2;
/** The share of the memory of the process that messages may hold. */
const messageMemoryShare = 0.0625;
const okStatus = 200;
const unavailableStatus = 503;

/** A gateway host: its servers, the snapshot it holds and its state. */
export class GatewayHost {
	readonly #options: GatewayHostOptions;
	readonly #settings: LiveSettings;
	readonly #metrics = new GatewayMetrics();
	readonly #fleet: Fleet;
	readonly #knownHosts: KnownHosts;
	readonly #limits: SharedLimits;
	readonly #allotments: AllotmentGate;
	readonly #crashSuspects = new CrashSuspects();
	readonly #crashDetector: CrashDetector;
	readonly #feed: SnapshotFeed;
	readonly #targetRegistry;
	readonly #capacity: ServiceCapacity;
	readonly #plans: PlanHolder;
	readonly #pathRecovery: PathRecovery;
	readonly #forwarder: Forwarder;
	readonly #forwardingServer: ForwardingServer;
	readonly #callerListener: CallerListener;
	readonly #relay: Relay;
	readonly #shutdown: GracefulShutdown;
	readonly #readinessServer;
	readonly #metricsServer;
	#targetCount = 0;
	#openRequestCount = 0;
	#isReady = false;
	#isCaughtUp = false;

	/**
	 * @param options - The settings and the external dependencies.
	 */
	constructor(options: GatewayHostOptions) {
		this.#options = options;
		this.#settings = new LiveSettings(options.settings);
		const {clock, settings, log, decode, store} = options;
		if (settings.memoryBytes !== undefined) {
			processByteBudget.limitBytes = settings.memoryBytes * messageMemoryShare;
		}

		const random = makeSeededRandom(options.seed);
		this.#plans = new PlanHolder(clock);
		this.#crashDetector = new CrashDetector({
			clock,
			log,
			suspects: this.#crashSuspects,
			probe: (state, onEnd) => {
				this.#probe(state, onEnd);
			},
			getOtherTargets: (state) =>
				this.#targetRegistry
					.getProbeableTargets()
					.filter((other) => other !== state)
					.map((other) => ({other, rank: random()}))
					.toSorted((a, b) => a.rank - b.rank)
					.slice(0, linkCheckTargets)
					.map(({other}) => other),
			broadcast: (notice) => {
				this.#fleet.broadcastCrash(notice);
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
				this.#crashDetector.addNotice(notice);
			},
			onFailure: (incarnation) => {
				this.#targetRegistry.addRemoteFailure(incarnation);
			},
			onLimit: (notice) => {
				this.#targetRegistry.addRemoteLimit(notice);
			},
			onAllotment: (message, sender) => {
				this.#knownHosts.receive(message, sender);
				this.#limits.addEvidence(message, sender);

				if (message.method === 'hosts-request') {
					this.#sendCrashes(sender);
				}

				this.#allotments.receive(message, sender);
			},
			onLoan: (message, sender) => {
				this.#limits.loans.receive(message, sender);
			},
			onWarmUp: (message, sender) => {
				this.#limits.warmUp.receive(message, sender);
			},
			getCapacity: () => this.#capacity.getRecords(),
			onCapacity: (records) => {
				this.#capacity.addRecords(records);
			},
		});
		const {address} = settings.callers;
		const getSeeds = () =>
			this.#settings.current.seeds.map((seed) => seed.address);
		const hasOtherSeeds = () => getSeeds().some((seed) => seed !== address);
		const send = (recipient: string, message: SharedLimitMessage) => {
			this.#fleet.sendTo(recipient, message);
		};

		this.#knownHosts = new KnownHosts({
			clock,
			random,
			self: address,
			getPeers: () => this.#fleet.knownPeers,
			getSeeds,
			send,
		});
		this.#limits = new SharedLimits({
			clock,
			random,
			log,
			metrics: this.#metrics,
			self: address,
			dataCentre: settings.dataCentre,
			isFirstStart: settings.isFirstStart,
			isAlone: settings.seeds.length === 0,
			directory: this.#knownHosts.directory,
			hasOtherSeeds,
			getPeers: () => this.#fleet.getShuffledPeers(),
			getKnownPeers: () => this.#fleet.knownPeers,
			getRetryLimit: () => this.#settings.current.retryBound,
			getWarmUpBound: () =>
				this.#settings.current.warmUpBound ?? defaultWarmUpBound,
			getWarmUpRate: (service) =>
				this.#targetRegistry.getServicePlan(service)
					?.maxWarmUpRequestsPerSecond,
			send,
		});
		this.#allotments = new AllotmentGate({
			clock,
			random,
			log,
			metrics: this.#metrics,
			self: address,
			knownHosts: this.#knownHosts,
			send,
			getBound: () =>
				this.#settings.current.allotmentBound ?? defaultAllotmentBound,
		});
		this.#feed = new SnapshotFeed({
			clock,
			random,
			log,
			metrics: this.#metrics.snapshot,
			decode,
			prepareItem: options.prepareItem,
			address: settings.callers.address,
			getSources: (state) => this.#fleet.getSources(state),
			directStore: options.directStore,
			budget: new FreshnessBudget(() => this.#settings.current),
			getRank: () => this.#fleet.rank,
			getHostCount: () => this.#fleet.hostCount,
			expectsPeers: hasOtherSeeds,
			onSnapshot: (snapshot) => {
				this.#applySnapshot(snapshot);
			},
			onCaughtUp: () => {
				this.#isCaughtUp = true;
				this.#updateReadiness();
			},
		});
		const getHostCount = () => this.#fleet.hostCount;
		this.#targetRegistry = new TargetRegistry({
			clock,
			log,
			metrics: this.#metrics,
			localAddress: settings.callers.address,
			getHostCount,
			makeLimitPolicy: (target) => ({
				getShare: (perSecond) =>
					this.#limits.shares.getShare(target, perSecond),
				getCheckDelayMs: () => this.#limits.shares.getCheckDelayMs(),
			}),
			makeWarmUpGate: (target) => this.#limits.warmUp.makeGate(target),
			onLimitChange: (notice) => {
				this.#fleet.broadcastLimit(notice);
			},
			onPathLost: () => {
				this.#pathRecovery.start();
			},
		});
		this.#capacity = new ServiceCapacity({
			clock,
			log,
			metrics: this.#metrics,
			getTargets: (service) => this.#targetRegistry.getOpenTargets(service),
			getHostCount,
		});
		this.#pathRecovery = new PathRecovery({
			clock,
			random,
			getPathMonitor: () => this.#targetRegistry.pathMonitor,
			getTargets: () => this.#targetRegistry.getProbeableTargets(),
			probe: (state) => {
				this.#probe(state);
			},
		});
		this.#shutdown = new GracefulShutdown({
			clock,
			log,
			getServers: () => [
				{
					...this.#callerListener,
					close() {
						options.callerServer.close();
					},
				},
				this.#forwardingServer,
			],
			getRunningCount: () => this.#openRequestCount,
		});
		const isShuttingDown = () => this.#shutdown.isRequested;
		this.#forwarder = new Forwarder({
			...options,
			metrics: this.#metrics,
			localAddress: settings.callers.address,
			port: settings.forwardingPort,
			hasAccounts: () => this.#plans.plan?.accounts !== undefined,
			getPeers: () => this.#fleet.getShuffledPeers(),
			isShuttingDown,
		});
		this.#relay = makeRelay({
			clock,
			random,
			log,
			metrics: this.#metrics,
			settings: this.#settings,
			protocol: options.targetProtocol,
			targetRegistry: this.#targetRegistry,
			capacity: this.#capacity,
			forwarder: this.#forwarder,
			plans: this.#plans,
			allotments: this.#allotments,
			retries: this.#limits,
			crashSuspects: this.#crashSuspects,
			getHostCount,
			getSnapshotAgeMs: () => this.#feed.ageMs,
			isShuttingDown,
			getShutdownMs: () => this.#shutdown.endsRequestsAtMs,
			getEstimatesUntilMs: () => this.#shutdown.acceptsUntilMs,
			hedging: options.hedging,
			probe: (state) => {
				this.#probe(state);
			},
			onConnectionBroken: (state, signature, onCrashConfirmed) => {
				this.#crashDetector.confirmCrash(state, signature, onCrashConfirmed);
			},
			onFailure: (state) => {
				this.#fleet.sendFailure(state.registration.incarnation);
			},
		});
		this.#callerListener = makeCallerListener({
			pipeline: async (exchange) => this.#run(exchange),
			clock,
			log: {
				error(message: string, fields: Record<string, unknown>) {
					log.warn(message, fields);
				},
			},
			getUnavailableFailure: () => undefined,
			onRejection(requestId, {kind, ran, detail}) {
				log.write('request refused', {requestId, outcome: kind, ran, detail});
			},
			isClosingConnections: () =>
				isShuttingDown() || this.#plans.plan === undefined,
			protocol: options.callerProtocol,
		});
		options.callerServer.setListener(this.#callerListener);
		this.#forwardingServer = new ForwardingServer({
			...options,
			address: settings.callers.address,
			isAvailable: () =>
				this.#isReady && !this.#targetRegistry.pathMonitor.isLost,
			isShuttingDown,
			getOpenRequestCount: () => this.#openRequestCount,
			run: async (exchange, forwarding) => this.#run(exchange, forwarding),
		});
		this.#readinessServer = new TextServer(clock, () => ({
			status: this.#isReady ? okStatus : unavailableStatus,
			contentType: 'text/plain',
			text: this.#isReady ? 'ready\n' : 'not ready\n',
		}));
		this.#metricsServer = new TextServer(clock, async () => ({
			status: okStatus,
			contentType: this.#metrics.contentType,
			text: await this.#metrics.getText(),
		}));
	}

	/** Starts the servers, the feed and the gossip. */
	async start(): Promise<void> {
		const {settings, log, hedging, clock} = this.#options;
		const wait = makePortWait(clock, log);
		log.writeState('process started', {
			dataCentre: settings.dataCentre,
			isFirstStart: settings.isFirstStart,
			...(hedging && {hedgeLimit: hedging.limit}),
		});
		void this.#feed.run();
		await listenWhenFree(
			async () => this.#readinessServer.listen(settings.readiness),
			wait,
		);
		await listenWhenFree(
			async () => this.#metricsServer.listen(settings.metrics),
			wait,
		);
		await this.#fleet.start();
		this.#knownHosts.start();
		this.#limits.start();
		await listenWhenFree(
			async () =>
				this.#forwardingServer.listen({
					address: settings.callers.address,
					port: settings.forwardingPort,
				}),
			wait,
		);
	}

	/**
	 * Applies the settings that can change without a restart.
	 *
	 * @param next - The settings as they were read again.
	 * @returns Which changed settings were applied and which need a restart.
	 */
	applySettings(next: GatewaySettings): SettingsChange {
		return this.#settings.apply(next);
	}

	/**
	 * Shuts down gracefully: reports not ready, keeps serving until the load
	 * balancer has noticed, gives the open requests time to finish and closes.
	 *
	 * @param earliestRequestMs - The earliest time at which the shutdown may have been requested, on the monotonic clock, in milliseconds; now by default.
	 */
	async stop(earliestRequestMs?: number): Promise<void> {
		this.#isReady = false;
		await this.#shutdown.run(
			this.#settings.current.shutdownMs,
			earliestRequestMs,
		);
		this.#feed.stop();
		this.#knownHosts.stop();
		this.#limits.stop();
		this.#allotments.stop();
		this.#fleet.stop();
		this.#pathRecovery.stop();
		this.#forwarder.close();
		this.#targetRegistry.close();
		this.#readinessServer.close();
		this.#metricsServer.close();
	}

	async #run(
		exchange: Exchange,
		forwarding?: ForwardedRequest,
	): Promise<FilterResult> {
		if (this.#shutdown.isRefusing) {
			return Err(makeShutdownFailure('This host is shutting down.'));
		}

		this.#openRequestCount++;
		try {
			return await this.#relay.run(exchange, forwarding);
		} finally {
			this.#openRequestCount--;
		}
	}

	/** Tells a host that has started which requests crash targets. */
	#sendCrashes(recipient: string): void {
		for (const notice of this.#crashDetector.getNotices()) {
			this.#fleet.sendCrash(recipient, notice);
		}
	}

	#probe(state: TargetState, onEnd: () => void = () => undefined): void {
		const {clock, log, targetProtocol} = this.#options;
		const plan = this.#targetRegistry.getServicePlan(
			state.registration.service,
		);
		const probe = new TargetProbe({
			state,
			healthPath: plan?.healthPath ?? '/',
			protocol: targetProtocol,
			clock,
			log,
			onNotice: (probed, notice) => {
				this.#targetRegistry.addAvailability(probed, notice, 'probe');
			},
			onIdentified: (registration, answeredBy) => {
				this.#targetRegistry.addAddressHolder(registration, answeredBy);
			},
			onEnd,
		});
		probe.start();
	}

	#applySnapshot(snapshot: RoutingSnapshot): void {
		const {plan, targets, drainedDataCentres} = snapshot;
		const {log, callerServer} = this.#options;
		const previousPlan = this.#plans.plan;
		this.#targetCount = targets.size;
		this.#targetRegistry.setSnapshot(snapshot);
		if (plan !== undefined && plan.version !== previousPlan?.version) {
			const accounts =
				plan.accountDirectory ??
				(plan.clientAccounts &&
					AccountDirectory.fromOrThrow(plan.clientAccounts));
			log.writeState('plan in force', {
				version: plan.version,
				former: previousPlan?.version,
				routes: plan.routes.length,
				targets: targets.size,
				emptied: [...drainedDataCentres],
				accounts: accounts?.accountCount,
				keys: accounts?.keyCount,
			});
			callerServer.setTimeouts(plan.limits);
			this.#allotments.setAccounts(plan.version, plan.clientAccounts);
			this.#capacity.setRanks(getServiceRanks(plan));
			this.#plans.setPlan({
				version: plan.version,
				routeTable: new RouteTable(plan.routes),
				limits: plan.limits,
				prioritizedServices: getPrioritizedServices(plan),
				accounts,
			});
		}

		this.#updateReadiness();
	}

	#updateReadiness(): void {
		const isReady =
			!this.#shutdown.isRequested &&
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
}

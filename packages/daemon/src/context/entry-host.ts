/** The composition root of an entry process: it creates and owns all other objects. */

import {
	type AuditEvent,
	makeId,
	makeSeededRandom,
	notRunFailure,
	type AuditSink,
	type Clock,
	type Failure,
	type IncarnationId,
} from '@bilberryscale/core';
import {PlatformClient} from '@bilberryscale/platform';
import {uuidv7} from 'uuidv7';
import {AuditTrail} from '../audit/audit-trail.js';
import {BundleStore} from '../bundle-store/bundle-store.js';
import {BundleWatcher} from '../bundle-store/bundle-watcher.js';
import {TargetAllocator} from '../dispatch/target-allocator.js';
import {FleetViewPoller} from '../dispatch/fleet-view-poller.js';
import {makeCallerServer} from '../http/caller-server.js';
import {waitForPendingIo} from '../http/wait-for-pending-io.js';
import {makeLogger, type Log} from '../logging/make-logger.js';
import {
	makeStatsdSink,
	noMetricSink,
	type MetricSink,
} from '../metrics/metric-sink.js';
import {Metrics} from '../metrics/metrics.js';
import {DecisionLog} from '../operators/decision-log.js';
import {
	makeOperatorServer,
	type HostStatus,
} from '../operators/operator-server.js';
import {Fleet} from '../peers/fleet.js';
import {runKeyedCall} from '../peers/run-keyed-call.js';
import {
	makeCallPipeline,
	makeKeyedCallPipeline,
	type PipelineDependencies,
} from '../pipeline/call-pipeline.js';
import type {EndedCall} from '../pipeline/filters/record.js';
import type {LoadedSettings} from '../settings/load-settings.js';
import type {Settings} from '../settings/settings.js';
import {ConnectionPools} from '../upstream/connection-pools.js';

const auditCapacity = 10_000;
const platformTimeoutMs = 2000;
/** The number of hosts assumed while the size of the fleet is unknown. */
const fallbackHostCount = 16;
/** Time between two checks for waiting requests that can't end before the shutdown does, in milliseconds. */
const lateRefusalIntervalMs = 50;

/** The options of an entry host. */
export type EntryHostOptions = {
	readonly loaded: LoadedSettings;
	readonly clock: Clock;
	readonly seed: number;
};

/** An entry host with its servers, its bundle and its connections. */
export class EntryHost {
	readonly #options: EntryHostOptions;
	readonly #incarnation = makeId<IncarnationId>(uuidv7());
	readonly #log;
	readonly #auditTrail;
	readonly #decisionLog = new DecisionLog();
	readonly #metrics;
	readonly #targetAllocator;
	readonly #pools;
	readonly #platform;
	readonly #bundleStore;
	readonly #bundleWatcher;
	readonly #fleet;
	readonly #fleetViewPoller;
	readonly #callerServer;
	readonly #operatorServer;
	#isStopping = false;
	/** Whether each connection closes after its next response. */
	#isClosingConnections = false;
	/** Whether new requests are refused. */
	#isRefusingRequests = false;
	/** When open requests are ended because of the shutdown, on the monotonic clock, in milliseconds. */
	#shutdownMs = Number.POSITIVE_INFINITY;
	#cancelLateRefusals: () => void = () => undefined;
	readonly #auditSink: AuditSink = (event) => {
		this.#auditTrail.add(event);
		this.#metrics.addAuditEvent(event);
	};

	/**
	 * @param options - The validated settings, the clock and the seed of the random numbers.
	 */
	constructor(options: EntryHostOptions) {
		this.#options = options;
		const {clock} = options;
		const {settings, trust} = options.loaded;
		this.#log = makeLogger(settings, this.#incarnation);
		this.#auditTrail = new AuditTrail({
			host: settings.host,
			incarnation: this.#incarnation,
			clock,
			capacity: auditCapacity,
			publish: (record) => {
				this.#log.info('audit', record);
			},
		});
		this.#metrics = new Metrics({
			clock,
			sink: makeMetricSink(settings, this.#log),
			getBundleVersion: () => this.#bundleStore.bundle?.version,
			isReady: () => this.#getUnavailableFailure() === undefined,
		});
		this.#targetAllocator = new TargetAllocator({
			clock,
			random: makeSeededRandom(options.seed),
			dataCentre: settings.dataCentre,
			selectionPolicy: settings.decisions.choice,
			audit: this.#auditSink,
		});
		this.#pools = new ConnectionPools({
			clock,
			localAddress: settings.callers.address,
			getHostCount: () => this.#fleet.view.position?.size ?? fallbackHostCount,
		});
		this.#platform = new PlatformClient({
			addresses: settings.platform.addresses,
			localAddress: settings.callers.address,
			timeoutMs: platformTimeoutMs,
			clock: options.clock,
		});
		this.#bundleStore = new BundleStore({
			trust,
			audit: this.#auditSink,
			onAdopted: (bundle) => {
				this.#targetAllocator.setBundle(bundle);
				this.#pools.retainTargets(bundle);
			},
		});
		this.#bundleWatcher = new BundleWatcher({
			platform: this.#platform,
			store: this.#bundleStore,
			clock,
			log: this.#log,
		});
		const dependencies = {
			allocator: this.#targetAllocator,
			pools: this.#pools,
			clock,
			audit: (event: AuditEvent) => {
				this.#auditTrail.add(event);
			},
			bodyIdleMs: settings.limits.bodyIdleMs,
			getShutdownMs: () => this.#shutdownMs,
			onEnded: (call: EndedCall) => {
				this.#decisionLog.add(call.record);
				this.#metrics.addCall(call);
			},
		};
		this.#fleet = this.#makeFleet(dependencies);
		this.#fleetViewPoller = new FleetViewPoller({
			clock,
			getView: () => this.#fleet.view.position,
			onChange: (view) => {
				this.#targetAllocator.setFleet(view);
			},
		});
		this.#callerServer = makeCallerServer({
			pipeline: makeCallPipeline(dependencies, this.#fleet),
			clock,
			log: this.#log,
			headerBytes: settings.limits.headerBytes,
			getUnavailableFailure: () => this.#getUnavailableFailure(),
			isClosingConnections: () => this.#isClosingConnections,
		});
		this.#operatorServer = makeOperatorServer({
			token: settings.operators.token,
			getStatus: () => this.#getStatus(),
			getAuditRecords: (fromSequence) =>
				this.#auditTrail.getRecords(fromSequence),
			getCallRecords: (requestId) => this.#decisionLog.getRecords(requestId),
		});
	}

	/** Starts the servers, joins the peers and watches for new bundles. */
	async start(): Promise<void> {
		const {callers, operators} = this.#options.loaded.settings;
		this.#auditSink({
			kind: 'process-started',
			subject: this.#incarnation,
			cause: 'start',
		});
		await this.#operatorServer.listen({
			host: operators.address,
			port: operators.port,
		});
		await this.#fleet.start();
		this.#fleetViewPoller.start();
		await this.#callerServer.listen({
			host: callers.address,
			port: callers.port,
		});
		this.#bundleWatcher.start();
		this.#metrics.start();
	}

	/**
	 * Applies the trusted keys of reloaded settings; all other changes need a restart.
	 *
	 * @param loaded - The validated settings.
	 */
	reload({trust}: LoadedSettings): void {
		this.#auditSink({
			kind: 'settings-loaded',
			subject: 'trusted keys',
			cause: 'the settings were read again',
		});
		this.#bundleStore.setTrust(trust);
		this.#bundleWatcher.forceFullRead();
	}

	/**
	 * Shuts down gracefully: reports not ready, keeps serving until the load
	 * balancer has had time to notice, finishes all requests and closes. Requests that
	 * can't be expected to end in time are refused.
	 *
	 * @param timeoutMs - When the open requests will be ended, in milliseconds from now; never by default.
	 */
	async stop(timeoutMs = Number.POSITIVE_INFINITY): Promise<void> {
		this.#isStopping = true;
		this.#shutdownMs = this.#options.clock.monotonicMs() + timeoutMs;
		this.#scheduleLateRefusals();
		this.#auditShutdown('not ready any more');
		this.#fleet.leave();
		await this.#waitForBalancer();
		this.#isClosingConnections = true;
		await waitForPendingIo();
		this.#isRefusingRequests = true;
		this.#auditShutdown('no new work is taken');
		this.#bundleWatcher.stop();
		await this.#callerServer.close();
		this.#cancelLateRefusals();
		await this.#fleet.close();
		this.#auditShutdown('every request has its whole answer');
		await this.#pools.close();
		await this.#platform.close();
		this.#metrics.stop();
		this.#fleetViewPoller.stop();
		await this.#operatorServer.close();
	}

	/** Answers all requests that are still open, before the process exits without their results. */
	endRequests(): void {
		this.#callerServer.endRequests();
	}

	/** Refuses waiting requests as soon as it is too late for them. */
	#scheduleLateRefusals(): void {
		this.#callerServer.refuseLateRequests();
		this.#cancelLateRefusals = this.#options.clock.schedule(
			lateRefusalIntervalMs,
			() => {
				this.#scheduleLateRefusals();
			},
		);
	}

	async #waitForBalancer(): Promise<void> {
		const {clock, loaded} = this.#options;
		const {leaveMs} = loaded.settings.limits;
		if (leaveMs === 0) {
			return;
		}

		await new Promise<void>((resolve) => {
			clock.schedule(leaveMs, resolve);
		});
	}

	#makeFleet(dependencies: PipelineDependencies): Fleet {
		const pipeline = makeKeyedCallPipeline({
			...dependencies,
			onEnded: ({record}) => {
				this.#decisionLog.add(record);
			},
		});
		const {clock, loaded} = this.#options;
		return new Fleet({
			settings: loaded.settings,
			incarnation: this.#incarnation,
			platform: this.#platform,
			store: this.#bundleStore,
			clock,
			log: this.#log,
			audit: this.#auditSink,
			run: async (call) => runKeyedCall(call, pipeline, clock),
		});
	}

	#auditShutdown(cause: string): void {
		this.#auditSink({
			kind: 'shutdown-step',
			subject: this.#incarnation,
			cause,
		});
	}

	#getUnavailableFailure(): Failure | undefined {
		if (this.#isRefusingRequests) {
			return notRunFailure('shutting-down', 'This host is shutting down.');
		}

		if (this.#bundleStore.bundle === undefined) {
			return notRunFailure('not-ready', 'This host has no bundle yet.');
		}

		return this.#fleet.isReady
			? undefined
			: notRunFailure('not-ready', 'This host is joining its peers.');
	}

	#getStatus(): HostStatus {
		const {host, dataCentre} = this.#options.loaded.settings;
		return {
			host,
			incarnation: this.#incarnation,
			dataCentre,
			isReady: !this.#isStopping && this.#getUnavailableFailure() === undefined,
			bundleVersion: this.#bundleStore.bundle?.version,
			bundleDigest: this.#bundleStore.rank?.digest,
			dataCentresOut: (this.#bundleStore.bundle?.dataCentres ?? [])
				.filter(({state}) => state === 'out')
				.map(({id}) => id),
		};
	}
}

function makeMetricSink(settings: Settings, log: Log): MetricSink {
	const {metrics, host} = settings;
	return metrics === undefined
		? noMetricSink
		: makeStatsdSink({
				...metrics,
				host,
				onError(error) {
					log.warn('metrics could not be sent', {cause: error.message});
				},
			});
}

/** The one context of an entry process: it builds and owns all objects. */

import {
	type AuditEvent,
	makeId,
	makeSeededRandom,
	notRun,
	type AuditSink,
	type Clock,
	type Failure,
	type IncarnationId,
} from '@bilberryscale/core';
import {PlatformClient} from '@bilberryscale/platform';
import {uuidv7} from 'uuidv7';
import {AuditTrail} from '../audit/audit-trail.js';
import {BundleStore} from '../bundle-store/bundle-store.js';
import {BundleWatch} from '../bundle-store/bundle-watch.js';
import {TargetAllocator} from '../dispatch/target-allocator.js';
import {FleetViewPoller} from '../dispatch/fleet-view-poller.js';
import {makeCallerServer} from '../http/caller-server.js';
import {takeArrived} from '../http/take-arrived.js';
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
const assumedHostCount = 16;

/** What an entry host is built from. */
export type EntryHostOptions = {
	readonly loaded: LoadedSettings;
	readonly clock: Clock;
	readonly seed: number;
};

/** An entry host: its servers, its watch and its state. */
export class EntryHost {
	readonly #options: EntryHostOptions;
	readonly #incarnation = makeId<IncarnationId>(uuidv7());
	readonly #log;
	readonly #audit;
	readonly #decisions = new DecisionLog();
	readonly #metrics;
	readonly #desk;
	readonly #pools;
	readonly #platform;
	readonly #store;
	readonly #watch;
	readonly #fleet;
	readonly #fleetFeed;
	readonly #callers;
	readonly #operators;
	#isLeaving = false;
	/** Whether connections close with their next answer. */
	#isClosing = false;
	/** Whether new requests are refused. */
	#isShuttingDown = false;
	readonly #auditSink: AuditSink = (event) => {
		this.#audit.add(event);
		this.#metrics.addAudit(event);
	};

	/**
	 * @param options - The checked settings, the clock and the seed.
	 */
	constructor(options: EntryHostOptions) {
		this.#options = options;
		const {clock} = options;
		const {settings, trust} = options.loaded;
		this.#log = makeLogger(settings, this.#incarnation);
		this.#audit = new AuditTrail({
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
			sink: makeSink(settings, this.#log),
			getBundleVersion: () => this.#store.bundle?.version,
			isReady: () => this.#getClosedFailure() === undefined,
		});
		this.#desk = new TargetAllocator({
			clock,
			random: makeSeededRandom(options.seed),
			dataCentre: settings.dataCentre,
			choice: settings.decisions.choice,
			audit: this.#auditSink,
		});
		this.#pools = new ConnectionPools({
			clock,
			localAddress: settings.callers.address,
			getHostCount: () => this.#fleet.view.share?.size ?? assumedHostCount,
		});
		this.#platform = new PlatformClient({
			addresses: settings.platform.addresses,
			localAddress: settings.callers.address,
			timeoutMs: platformTimeoutMs,
		});
		this.#store = new BundleStore({
			trust,
			audit: this.#auditSink,
			onAdopted: (bundle) => {
				this.#desk.setBundle(bundle);
				this.#pools.retain(bundle);
			},
		});
		this.#watch = new BundleWatch({
			platform: this.#platform,
			store: this.#store,
			clock,
			log: this.#log,
		});
		const parts = {
			allocator: this.#desk,
			pools: this.#pools,
			clock,
			audit: (event: AuditEvent) => {
				this.#audit.add(event);
			},
			bodyIdleMs: settings.limits.bodyIdleMs,
			onEnded: (call: EndedCall) => {
				this.#decisions.add(call.record);
				this.#metrics.addCall(call);
			},
		};
		this.#fleet = this.#makeFleet(parts);
		this.#fleetFeed = new FleetViewPoller({
			clock,
			getView: () => this.#fleet.view.share,
			onChange: (view) => {
				this.#desk.setFleet(view);
			},
		});
		this.#callers = makeCallerServer({
			pipeline: makeCallPipeline(parts, this.#fleet),
			clock,
			log: this.#log,
			headerBytes: settings.limits.headerBytes,
			getClosedFailure: () => this.#getClosedFailure(),
			isLeaving: () => this.#isClosing,
		});
		this.#operators = makeOperatorServer({
			token: settings.operators.token,
			getStatus: () => this.#getStatus(),
			getAudit: (fromSequence) => this.#audit.getRecords(fromSequence),
			getCalls: (requestId) => this.#decisions.getRecords(requestId),
		});
	}

	/** Starts to listen and to watch. */
	async start(): Promise<void> {
		const {callers, operators} = this.#options.loaded.settings;
		this.#auditSink({
			kind: 'process-started',
			subject: this.#incarnation,
			cause: 'start',
		});
		await this.#operators.listen({
			host: operators.address,
			port: operators.port,
		});
		await this.#fleet.start();
		this.#fleetFeed.start();
		await this.#callers.listen({host: callers.address, port: callers.port});
		this.#watch.start();
		this.#metrics.start();
	}

	/**
	 * Takes over the trusted keys of settings that were read again; all else needs a restart.
	 *
	 * @param loaded - The checked settings.
	 */
	reload({trust}: LoadedSettings): void {
		this.#auditSink({
			kind: 'settings-loaded',
			subject: 'trusted keys',
			cause: 'the settings were read again',
		});
		this.#store.setTrust(trust);
		this.#watch.refresh();
	}

	/**
	 * Stops being ready, serves on until the balancer knows, finishes every
	 * request and closes.
	 */
	async stop(): Promise<void> {
		this.#isLeaving = true;
		this.#auditShutdown('not ready any more');
		this.#fleet.leave();
		await this.#waitForBalancer();
		this.#isClosing = true;
		await takeArrived();
		this.#isShuttingDown = true;
		this.#auditShutdown('no new work is taken');
		this.#watch.stop();
		await this.#callers.close();
		await this.#fleet.close();
		this.#auditShutdown('every request has its whole answer');
		await this.#pools.close();
		await this.#platform.close();
		this.#metrics.stop();
		this.#fleetFeed.stop();
		await this.#operators.close();
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

	#makeFleet(parts: PipelineDependencies): Fleet {
		const pipeline = makeKeyedCallPipeline({
			...parts,
			onEnded: ({record}) => {
				this.#decisions.add(record);
			},
		});
		const {clock, loaded} = this.#options;
		return new Fleet({
			settings: loaded.settings,
			incarnation: this.#incarnation,
			platform: this.#platform,
			store: this.#store,
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

	#getClosedFailure(): Failure | undefined {
		if (this.#isShuttingDown) {
			return notRun('shutting-down', 'This host is shutting down.');
		}

		if (this.#store.bundle === undefined) {
			return notRun('not-ready', 'This host has no bundle yet.');
		}

		return this.#fleet.isReady
			? undefined
			: notRun('not-ready', 'This host is joining its peers.');
	}

	#getStatus(): HostStatus {
		const {host, dataCentre} = this.#options.loaded.settings;
		return {
			host,
			incarnation: this.#incarnation,
			dataCentre,
			isReady: !this.#isLeaving && this.#getClosedFailure() === undefined,
			bundleVersion: this.#store.bundle?.version,
			bundleDigest: this.#store.rank?.digest,
			dataCentresOut: (this.#store.bundle?.dataCentres ?? [])
				.filter(({state}) => state === 'out')
				.map(({id}) => id),
		};
	}
}

function makeSink(settings: Settings, log: Log): MetricSink {
	const {metrics, host} = settings;
	return metrics === undefined
		? noMetricSink
		: makeStatsdSink({
				...metrics,
				host,
				onError(error) {
					log.warn('metrics are lost', {cause: error.message});
				},
			});
}

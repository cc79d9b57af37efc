/** Connects this host to the fleet: host list, peer network, leases and keyed calls. */

import type {
	AuditSink,
	Cancellation,
	Clock,
	HostId,
	IncarnationId,
} from '@bilberryscale/core';
import {usualPolicy} from '@bilberryscale/once';
import type {PlatformClient} from '@bilberryscale/platform';
import type {BundleStore} from '../bundle-store/bundle-store.js';
import type {Log} from '../logging/make-logger.js';
import type {FilterResult} from '../pipeline/exchange.js';
import type {Settings} from '../settings/settings.js';
import {FleetView} from './fleet-view.js';
import {HostListWatcher} from './host-list-watcher.js';
import type {KeyedCall} from './keyed-call.js';
import {KeyedCallDispatcher} from './keyed-call-dispatcher.js';
import {PeerNetwork} from './peer-network.js';

/** The dependencies of a `Fleet`. */
export type FleetOptions = {
	readonly settings: Settings;
	readonly incarnation: IncarnationId;
	readonly platform: PlatformClient;
	readonly store: BundleStore;
	readonly clock: Clock;
	readonly log: Log;
	readonly audit: AuditSink;
	/** Chooses a target for a call and sends the call to it. */
	readonly run: (call: KeyedCall) => Promise<FilterResult>;
};

const heartbeatIntervalMs = 2000;
const peerTimeoutMs = 5000;
/** How long a host serves before it reports ready. */
const settleTimeMs = 3000;

/** This host's membership in the fleet. */
export class Fleet {
	readonly view: FleetView;
	readonly calls: KeyedCallDispatcher;
	readonly #options: FleetOptions;
	readonly #network: PeerNetwork | undefined;
	readonly #hostListWatcher: HostListWatcher;
	#cancelNextRound: Cancellation | undefined;

	/**
	 * @param options - The settings, the platform client, the bundle store and what runs a call.
	 */
	constructor(options: FleetOptions) {
		this.#options = options;
		const {settings, incarnation, store, clock, audit} = options;
		const self = {host: settings.host, incarnation};
		this.view = new FleetView({
			self,
			policy: usualPolicy,
			clock,
			audit,
			peerTimeoutMs,
			isStandalone: settings.peers === undefined,
			getBundleVersion: () => store.bundle?.version ?? 0,
		});
		this.#network = this.#makeNetwork(self);
		this.calls = new KeyedCallDispatcher({
			view: this.view,
			clock,
			network: this.#network,
			run: options.run,
		});
		this.#hostListWatcher = new HostListWatcher({
			platform: options.platform,
			clock,
			onHosts: (hosts) => {
				this.view.setPublishedHosts(hosts);
			},
		});
	}

	/** Gets whether this host is ready for calls; without peers it always is. */
	get isReady(): boolean {
		return this.#network === undefined || this.view.hasSettled(settleTimeMs);
	}

	/** Joins the fleet; without peers this host is the only member. */
	async start(): Promise<void> {
		if (this.#network === undefined) {
			this.#startStandalone(this.#options.settings.host);
			return;
		}

		this.#hostListWatcher.start();
		await this.#network.start();
	}

	/** Announces to the peers that this host is leaving. */
	leave(): void {
		this.#network?.leave();
	}

	/** Stops the loops, finishes the requests of peers and closes the connections. */
	async close(): Promise<void> {
		this.#cancelNextRound?.();
		this.#hostListWatcher.stop();
		await this.#network?.close();
	}

	#makeNetwork(self: {
		host: HostId;
		incarnation: IncarnationId;
	}): PeerNetwork | undefined {
		const {settings, store, clock, log, audit} = this.#options;
		return settings.peers === undefined
			? undefined
			: new PeerNetwork({
					self,
					settings: settings.peers,
					view: this.view,
					store,
					clock,
					log,
					audit,
					runForwarded: async (call) => this.calls.runHere(call),
					heartbeatIntervalMs,
				});
	}

	#startStandalone(host: HostId): void {
		this.view.setPublishedHosts([
			{host, address: '127.0.0.1', port: 0, isLeaving: false},
		]);
		const runRound = () => {
			this.view.beginRound();
			this.#cancelNextRound = this.#options.clock.schedule(
				heartbeatIntervalMs,
				runRound,
			);
		};

		runRound();
	}
}

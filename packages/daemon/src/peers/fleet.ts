/** The part that this host takes in the fleet, put together. */

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
import {HostWatch} from './host-watch.js';
import type {KeyedCall} from './keyed-call.js';
import {KeyedCalls} from './keyed-calls.js';
import {PeerNetwork} from './peer-network.js';

/** What a fleet is made from. */
export type FleetOptions = {
	readonly settings: Settings;
	readonly incarnation: IncarnationId;
	readonly platform: PlatformClient;
	readonly store: BundleStore;
	readonly clock: Clock;
	readonly log: Log;
	readonly audit: AuditSink;
	/** Takes a target for a call and sends it. */
	readonly run: (call: KeyedCall) => Promise<FilterResult>;
};

const heartbeatMs = 2000;
const silenceMs = 5000;
const settleMs = 3000;

/** The fleet as one host sees it. */
export class Fleet {
	readonly view: FleetView;
	readonly calls: KeyedCalls;
	readonly #options: FleetOptions;
	readonly #network: PeerNetwork | undefined;
	readonly #hosts: HostWatch;
	#cancelRound: Cancellation | undefined;

	/**
	 * @param options - The settings and what the fleet works with.
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
			silenceMs,
			isAlone: settings.peers === undefined,
			getBundleVersion: () => store.bundle?.version ?? 0,
		});
		this.#network = this.#makeNetwork(self);
		this.calls = new KeyedCalls({
			view: this.view,
			clock,
			network: this.#network,
			run: options.run,
		});
		this.#hosts = new HostWatch({
			platform: options.platform,
			clock,
			onHosts: (hosts) => {
				this.view.setPublished(hosts);
			},
		});
	}

	/** Tells whether this host may take calls as a member of the fleet. */
	get isReady(): boolean {
		return this.#network === undefined || this.view.hasSettled(settleMs);
	}

	/** Starts to take part; without peers this host is a fleet of one. */
	async start(): Promise<void> {
		if (this.#network === undefined) {
			this.#beAlone(this.#options.settings.host);
			return;
		}

		this.#hosts.start();
		await this.#network.start();
	}

	/** Tells the peers that this host leaves. */
	leave(): void {
		this.#network?.leave();
	}

	/** Answers what peers have asked and closes. */
	async close(): Promise<void> {
		this.#cancelRound?.();
		this.#hosts.stop();
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
					heartbeatMs,
				});
	}

	#beAlone(host: HostId): void {
		this.view.setPublished([
			{host, address: '127.0.0.1', port: 0, isLeaving: false},
		]);
		const beat = () => {
			this.view.beginRound();
			this.#cancelRound = this.#options.clock.schedule(heartbeatMs, beat);
		};

		beat();
	}
}

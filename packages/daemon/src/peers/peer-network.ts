/** Exchanges heartbeats, forwarded calls and bundles with peers. */

import {Buffer} from 'node:buffer';
import {
	notRunFailure,
	possiblyRunFailure,
	type AuditSink,
	type CancelFunction,
	type Clock,
	type HostId,
} from '@bilberryscale/core';
import {
	PeerClient,
	PeerServer,
	forwardedReplySchema,
	heartbeatReplySchema,
	readTlsFiles,
	textReplySchema,
	type ForwardedCall,
	type ForwardedReply,
	type Peer,
	type PeerIdentity,
	type PublishedHost,
} from '@bilberryscale/peers';
import {Err, Ok} from 'ts-results-es';
import type {BundleStore} from '../bundle-store/bundle-store.js';
import type {Log} from '../logging/make-logger.js';
import type {FilterResult} from '../pipeline/exchange.js';
import type {Settings} from '../settings/settings.js';
import {pullBundle} from './pull-bundle.js';
import type {FleetView, HeartbeatRound} from './fleet-view.js';
import type {KeyedCall} from './keyed-call.js';

/** The dependencies of a `PeerNetwork`. */
export type PeerNetworkOptions = {
	readonly self: PeerIdentity;
	readonly settings: NonNullable<Settings['peers']>;
	readonly view: FleetView;
	readonly store: BundleStore;
	readonly clock: Clock;
	readonly log: Log;
	readonly audit: AuditSink;
	/** Runs a call that a peer forwarded. */
	readonly runForwarded: (call: KeyedCall) => Promise<FilterResult>;
	/** The interval between heartbeats, in milliseconds. */
	readonly heartbeatIntervalMs: number;
};

type ClientEntry = {
	readonly client: PeerClient;
	/** The host and address to which the client was created. */
	readonly published: PublishedHost;
};

const heartbeatTimeoutMs = 1500;
const bundleTimeoutMs = 2000;

/** Owns the peer server, a client for each peer and the heartbeat loop. */
export class PeerNetwork {
	readonly #options: PeerNetworkOptions;
	readonly #tls;
	readonly #server: PeerServer;
	readonly #clients = new Map<HostId, ClientEntry>();
	#cancelNextRound: CancelFunction | undefined;
	#isPullingBundle = false;
	#isStopped = false;

	/**
	 * @param options - The identity of this host, its settings and the handlers of peer requests.
	 */
	constructor(options: PeerNetworkOptions) {
		this.#options = options;
		const {settings, view, self, store} = options;
		this.#tls = readTlsFiles(settings);
		this.#server = new PeerServer({
			incarnation: self.incarnation,
			tls: this.#tls,
			handlers: {
				heartbeat: (message) => {
					const reply = view.handleHeartbeat(message);
					this.#pullBundleIfNewer(
						message.from.host,
						message.state.bundleVersion,
					);
					return reply;
				},
				call: async (message) => this.#handleForwardedCall(message),
				getManifest: () => ({
					text:
						store.signed === undefined ? null : JSON.stringify(store.signed),
				}),
				getPart: ({digest}) => ({text: store.getPart(digest) ?? null}),
			},
			onRefused(peer, cause) {
				options.audit({kind: 'request-barred', subject: `peer ${peer}`, cause});
			},
		});
	}

	/** Starts the peer server and the heartbeat loop. */
	async start(): Promise<void> {
		const {address, port} = this.#options.settings;
		await this.#server.listen(address, port);
		this.#runRound();
	}

	/** Announces at once that this host is leaving; peers are answered until `close`. */
	leave(): void {
		this.#options.view.leave();
		this.#cancelNextRound?.();
		this.#runRound();
	}

	/** Stops the heartbeats and closes the server and all clients. */
	async close(): Promise<void> {
		this.#isStopped = true;
		this.#cancelNextRound?.();
		await this.#server.close();
		const clients = [...this.#clients.values()];
		await Promise.all(clients.map(async ({client}) => client.close()));
	}

	/**
	 * Forwards a call to the key owner.
	 *
	 * @param peer - The key owner.
	 * @param call - The call.
	 * @returns The answer of the key owner, or the failure.
	 */
	async forward(peer: Peer, call: KeyedCall): Promise<FilterResult> {
		const {self, clock} = this.#options;
		const {host, incarnation} = peer.identity;
		const entry = this.#getClientEntry(host);
		const timeoutMs = call.deadlineMs - clock.monotonicMs();
		if (entry === undefined || timeoutMs <= 0) {
			return Err(
				possiblyRunFailure('home-unreachable', `"${host}" is not reachable.`),
			);
		}

		const message = {
			from: self,
			to: incarnation,
			requestId: call.requestId,
			key: call.key,
			method: call.method,
			url: call.url,
			headers: call.headers,
			body: call.body.toString('base64'),
			timeoutMs,
		};
		const reply = await entry.client.sendCall(
			'call',
			message,
			forwardedReplySchema,
			timeoutMs,
		);
		return reply.isOk()
			? toFilterResult(reply.value)
			: Err(possiblyRunFailure('home-unreachable', reply.error.cause));
	}

	async #handleForwardedCall(message: ForwardedCall): Promise<ForwardedReply> {
		const {clock, runForwarded} = this.#options;
		const {requestId, key, method, url, headers, body, timeoutMs} = message;
		const result = await runForwarded({
			requestId,
			key,
			isNew: false,
			method,
			url,
			headers,
			body: Buffer.from(body, 'base64'),
			deadlineMs: clock.monotonicMs() + timeoutMs,
		});
		if (result.isErr()) {
			return {kind: 'failure', failure: result.error};
		}

		const {status, headers: answerHeaders, body: bytes} = result.value;
		return {
			kind: 'answer',
			status,
			headers: omitUndefined(answerHeaders),
			body: Buffer.isBuffer(bytes) ? bytes.toString('base64') : '',
		};
	}

	#runRound(): void {
		const {view, self, heartbeatIntervalMs, clock} = this.#options;
		const round = view.beginRound();
		for (const {host} of view.membership.publishedHosts) {
			if (host !== self.host) {
				void this.#sendHeartbeat(host, round);
			}
		}

		this.#closeUnpublishedClients();
		if (!this.#isStopped) {
			this.#cancelNextRound = clock.schedule(heartbeatIntervalMs, () => {
				this.#runRound();
			});
		}
	}

	async #sendHeartbeat(host: HostId, round: HeartbeatRound): Promise<void> {
		const {self, view} = this.#options;
		const entry = this.#getClientEntry(host);
		if (entry === undefined) {
			return;
		}

		const message = {
			from: self,
			sequence: round.sequence,
			state: round.state,
			wanted: round.wanted.toHex(),
		};
		const reply = await entry.client.sendHeartbeat(
			'heartbeat',
			message,
			heartbeatReplySchema,
			heartbeatTimeoutMs,
		);
		if (reply.isOk() && reply.value.from.host === host) {
			view.handleReply(round, reply.value);
			this.#pullBundleIfNewer(host, reply.value.state.bundleVersion);
		}
	}

	#pullBundleIfNewer(host: HostId, version: number): void {
		const {store, self, log} = this.#options;
		const entry = this.#getClientEntry(host);
		const isNewer = version > (store.bundle?.version ?? 0);
		if (!isNewer || this.#isPullingBundle || entry === undefined) {
			return;
		}

		this.#isPullingBundle = true;
		const fetchText = async (method: string, message: object) => {
			const request = {from: self, ...message};
			const reply = await entry.client.fetchText(
				method,
				request,
				textReplySchema,
				bundleTimeoutMs,
			);
			return reply.isOk() ? (reply.value.text ?? undefined) : undefined;
		};

		void pullBundle({host, store, fetchText, log}).finally(() => {
			this.#isPullingBundle = false;
		});
	}

	#getClientEntry(host: HostId): ClientEntry | undefined {
		const {view, settings} = this.#options;
		const published = view.membership.publishedHosts.find(
			(item) => item.host === host,
		);
		const existing = this.#clients.get(host);
		if (
			published === undefined ||
			hasSameAddress(published, existing?.published)
		) {
			return existing;
		}

		void existing?.client.close();
		const client = new PeerClient({
			peer: published,
			tls: this.#tls,
			clock: this.#options.clock,
			localAddress: settings.address,
		});
		const entry = {client, published};
		this.#clients.set(host, entry);
		return entry;
	}

	#closeUnpublishedClients(): void {
		const {publishedHosts} = this.#options.view.membership;
		const hosts = new Set(publishedHosts.map(({host}) => host));
		for (const [host, {client}] of this.#clients) {
			if (!hosts.has(host)) {
				this.#clients.delete(host);
				void client.close();
			}
		}
	}
}

function hasSameAddress(
	published: PublishedHost,
	other: PublishedHost | undefined,
): boolean {
	return published.address === other?.address && published.port === other.port;
}

function toFilterResult(reply: ForwardedReply): FilterResult {
	if (reply.kind === 'answer') {
		const {status, headers, body} = reply;
		return Ok({status, headers, body: Buffer.from(body, 'base64')});
	}

	const {kind, ran, detail, retryAfterMs} = reply.failure;
	return Err(
		ran === 'not-run'
			? notRunFailure(kind, detail, retryAfterMs)
			: possiblyRunFailure(kind, detail, retryAfterMs),
	);
}

function omitUndefined(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
	return Object.fromEntries(
		Object.entries(headers).filter(
			(entry): entry is [string, string | string[]] => entry[1] !== undefined,
		),
	);
}

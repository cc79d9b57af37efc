/** Sends heartbeats, forwards calls and fetches bundles among peers. */

import {Buffer} from 'node:buffer';
import {
	notRun,
	perhapsRun,
	type AuditSink,
	type Cancellation,
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
import {pullBundle} from './bundle-pull.js';
import type {FleetView, Round} from './fleet-view.js';
import type {KeyedCall} from './keyed-call.js';

/** What a network works with. */
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
	/** How often heartbeats are sent, in milliseconds. */
	readonly heartbeatMs: number;
};

type KnownClient = {
	readonly client: PeerClient;
	readonly published: PublishedHost;
};

const heartbeatTimeoutMs = 1500;
const bundleTimeoutMs = 2000;

/** The connections to peers and the loop of heartbeats. */
export class PeerNetwork {
	readonly #options: PeerNetworkOptions;
	readonly #tls;
	readonly #server: PeerServer;
	readonly #clients = new Map<HostId, KnownClient>();
	#cancelNext: Cancellation | undefined;
	#isPulling = false;
	#isStopped = false;

	/**
	 * @param options - Who this host is and what answers its peers.
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
					const reply = view.takeHeartbeat(message);
					this.#pullIfNewer(message.from.host, message.state.bundleVersion);
					return reply;
				},
				call: async (message) => this.#answerCall(message),
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

	/** Starts to listen and to send heartbeats. */
	async start(): Promise<void> {
		const {address, port} = this.#options.settings;
		await this.#server.listen(address, port);
		this.#beat();
	}

	/** Tells the peers that this host leaves; it answers them until `close`. */
	leave(): void {
		this.#options.view.leave();
		this.#cancelNext?.();
		this.#beat();
	}

	/** Ends the heartbeats and closes. */
	async close(): Promise<void> {
		this.#isStopped = true;
		this.#cancelNext?.();
		await this.#server.close();
		const clients = [...this.#clients.values()];
		await Promise.all(clients.map(async ({client}) => client.close()));
	}

	/**
	 * Forwards a call to the home of its key.
	 *
	 * @param peer - The home.
	 * @param call - The call.
	 * @returns The answer of the home, or why there is none.
	 */
	async forward(peer: Peer, call: KeyedCall): Promise<FilterResult> {
		const {self, clock} = this.#options;
		const {host, incarnation} = peer.identity;
		const known = this.#getClient(host);
		const timeoutMs = call.deadlineMs - clock.monotonicMs();
		if (known === undefined || timeoutMs <= 0) {
			return Err(perhapsRun('home-unreachable', `"${host}" is not reachable.`));
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
		const reply = await known.client.sendCall(
			'call',
			message,
			forwardedReplySchema,
			timeoutMs,
		);
		return reply.isOk()
			? readReply(reply.value)
			: Err(perhapsRun('home-unreachable', reply.error.cause));
	}

	async #answerCall(message: ForwardedCall): Promise<ForwardedReply> {
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

		const {status, headers: answered, body: bytes} = result.value;
		return {
			kind: 'answer',
			status,
			headers: dropUndefined(answered),
			body: Buffer.isBuffer(bytes) ? bytes.toString('base64') : '',
		};
	}

	#beat(): void {
		const {view, self, heartbeatMs, clock} = this.#options;
		const round = view.beginRound();
		for (const {host} of view.membership.published) {
			if (host !== self.host) {
				void this.#sendHeartbeat(host, round);
			}
		}

		this.#closeUnpublished();
		if (!this.#isStopped) {
			this.#cancelNext = clock.schedule(heartbeatMs, () => {
				this.#beat();
			});
		}
	}

	async #sendHeartbeat(host: HostId, round: Round): Promise<void> {
		const {self, view} = this.#options;
		const known = this.#getClient(host);
		if (known === undefined) {
			return;
		}

		const message = {
			from: self,
			sequence: round.sequence,
			state: round.state,
			wanted: round.wanted.toHex(),
		};
		const reply = await known.client.sendHeartbeat(
			'heartbeat',
			message,
			heartbeatReplySchema,
			heartbeatTimeoutMs,
		);
		if (reply.isOk() && reply.value.from.host === host) {
			view.takeReply(round, reply.value);
			this.#pullIfNewer(host, reply.value.state.bundleVersion);
		}
	}

	#pullIfNewer(host: HostId, version: number): void {
		const {store, self, log} = this.#options;
		const known = this.#getClient(host);
		const isNewer = version > (store.bundle?.version ?? 0);
		if (!isNewer || this.#isPulling || known === undefined) {
			return;
		}

		this.#isPulling = true;
		const fetchText = async (method: string, message: object) => {
			const whole = {from: self, ...message};
			const reply = await known.client.sendCall(
				method,
				whole,
				textReplySchema,
				bundleTimeoutMs,
			);
			return reply.isOk() ? (reply.value.text ?? undefined) : undefined;
		};

		void pullBundle({host, store, fetchText, log}).finally(() => {
			this.#isPulling = false;
		});
	}

	#getClient(host: HostId): KnownClient | undefined {
		const {view, settings} = this.#options;
		const published = view.membership.published.find(
			(item) => item.host === host,
		);
		const known = this.#clients.get(host);
		if (published === undefined || isSamePlace(published, known?.published)) {
			return known;
		}

		void known?.client.close();
		const client = new PeerClient({
			peer: published,
			tls: this.#tls,
			localAddress: settings.address,
		});
		const made = {client, published};
		this.#clients.set(host, made);
		return made;
	}

	#closeUnpublished(): void {
		const {published} = this.#options.view.membership;
		const hosts = new Set(published.map(({host}) => host));
		for (const [host, {client}] of this.#clients) {
			if (!hosts.has(host)) {
				this.#clients.delete(host);
				void client.close();
			}
		}
	}
}

function isSamePlace(
	published: PublishedHost,
	known: PublishedHost | undefined,
): boolean {
	return published.address === known?.address && published.port === known.port;
}

function readReply(reply: ForwardedReply): FilterResult {
	if (reply.kind === 'answer') {
		const {status, headers, body} = reply;
		return Ok({status, headers, body: Buffer.from(body, 'base64')});
	}

	const {kind, ran, detail, retryAfterMs} = reply.failure;
	return Err(
		ran === 'not-run'
			? notRun(kind, detail, retryAfterMs)
			: perhapsRun(kind, detail, retryAfterMs),
	);
}

function dropUndefined(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
	return Object.fromEntries(
		Object.entries(headers).filter(
			(entry): entry is [string, string | string[]] => entry[1] !== undefined,
		),
	);
}

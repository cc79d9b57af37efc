/** Records the exchanges of one entry host with its caller, targets and platform. */

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {EntryHost, parseSettings} from '@bilberryscale/daemon';
import {
	AddressPlan,
	getEntrySettings,
	makeBundle,
	BundlePublisher,
	SimulatedPlatform,
	ports,
	type Deployment,
} from '@bilberryscale/standins';
import {request} from 'undici';
import {normaliseExchanges} from './normalise-exchanges.js';
import type {RecordedExchange, RecordedRequest} from './recorded-exchange.js';
import {ScriptedTarget} from './scripted-target.js';

const deployment: Deployment = {
	name: 'golden',
	dataCentres: ['east', 'west'],
	delayMs: 1,
	callerDelayMs: 1,
	entryHosts: 1,
	slots: 1,
	connections: 16,
	newConnectionMs: 0,
	coldAllowance: 1,
	services: [
		{
			name: 'register',
			targets: 2,
			idempotency: 'by-method',
			serviceTimeMs: 1,
			spread: 0,
			classes: ['citizen', 'council'],
		},
	],
};

const limits = {
	queueLength: 1,
	queueTimeMs: 100,
	timeoutMs: 2000,
	bodyBytes: 64,
};
const operatorToken = 'golden-operator-token';
const pollIntervalMs = 10;
const waitTimeoutMs = 5000;

/** A running session whose exchanges are recorded. */
export class Session {
	readonly targets: readonly ScriptedTarget[];
	readonly platform = new SimulatedPlatform();
	readonly #addressPlan: AddressPlan;
	readonly #publisher = new BundlePublisher(['first', 'second']);
	readonly #host: EntryHost;
	readonly #exchanges: RecordedExchange[] = [];
	readonly #address: string;
	#version = 0;
	#stopPromise: Promise<void> | undefined;

	private constructor(plan: AddressPlan) {
		this.#addressPlan = plan;
		const record = (exchange: RecordedExchange) => {
			this.#exchanges.push(exchange);
		};

		this.targets = plan
			.getTargetLocations(deployment)
			.map((location) => new ScriptedTarget(location, record));
		const location = plan.getEntryLocation(deployment, 0);
		this.#address = location.address;
		this.platform.onRead = (read) => {
			record({
				between: 'entry and platform',
				request: {method: 'GET', path: read.path},
				answer: {status: read.status, body: read.body},
			});
		};

		const settings = getEntrySettings({
			entry: location,
			platform: plan.platform,
			trusted: this.#publisher.trustedSigners,
			threshold: 2,
			token: operatorToken,
			leaveMs: 0,
		});
		this.#host = new EntryHost({
			loaded: parseSettings(
				`${settings}\n[logs]\nlevel = "error"\n`,
				'golden.toml',
			).unwrap(),
			clock: systemClock,
			seed: 1,
		});
	}

	/**
	 * Starts the entry host, the targets and the platform; no bundle is published yet.
	 *
	 * @returns The session.
	 */
	static async start(): Promise<Session> {
		const session = new Session(await AddressPlan.claim());
		await session.platform.listen(session.#addressPlan.platform);
		await Promise.all(session.targets.map(async (target) => target.listen()));
		await session.#host.start();
		await waitUntil(() =>
			session.#exchanges.some(({request: {path}}) => path.includes('manifest')),
		);
		return session;
	}

	/**
	 * Publishes the next version of the bundle and waits until it is in force.
	 *
	 * @param drainedDataCentre - The data centre to drain.
	 */
	async rollOutBundle(drainedDataCentre: string): Promise<void> {
		this.#version++;
		const bundle = makeBundle({
			deployment,
			targets: this.#addressPlan.getTargetLocations(deployment),
			version: this.#version,
			drainedDataCentres: [drainedDataCentre],
		});
		const services = bundle.services.map((service) => ({...service, limits}));
		this.#publisher.publish(this.platform, {...bundle, services});
		await waitUntil(async () => {
			const status = await this.#queryOperatorApi('/status');
			return status.includes(`"bundleVersion":${this.#version}`);
		});
	}

	/**
	 * Sends a request to the entry host as a caller.
	 *
	 * @param requestToSend - The request to send.
	 */
	async sendRequest(requestToSend: RecordedRequest): Promise<void> {
		const url = `http://${this.#address}:${ports.callers}${requestToSend.path}`;
		const response = await request(url, {
			method: requestToSend.method as 'GET',
			headers: (requestToSend.headers ?? {}) as Record<string, string>,
			body: requestToSend.body ?? null,
		});
		this.#exchanges.push({
			between: 'caller and entry',
			request: requestToSend,
			answer: {
				status: response.statusCode,
				headers: response.headers,
				body: await response.body.text(),
			},
		});
	}

	/** Shuts the entry host down gracefully, as a signal does. */
	async stopHost(): Promise<void> {
		this.#stopPromise ??= this.#host.stop();
		await this.#stopPromise;
	}

	/**
	 * Stops the entry host, the targets and the platform.
	 *
	 * @returns The normalised exchanges, one line each.
	 */
	async finish(): Promise<string[]> {
		await this.stopHost();
		for (const target of this.targets) {
			target.close();
		}

		await this.platform.close();
		this.#addressPlan.release();
		const isPlatformRead = ({between}: RecordedExchange) =>
			between === 'entry and platform';
		return normaliseExchanges([
			...this.#exchanges.filter((exchange) => !isPlatformRead(exchange)),
			...this.#exchanges.filter((exchange) => isPlatformRead(exchange)),
		]);
	}

	async #queryOperatorApi(path: string): Promise<string> {
		const url = `http://${this.#address}:${ports.operators}${path}`;
		const headers = {authorization: `Bearer ${operatorToken}`};
		const response = await request(url, {headers});
		return response.body.text();
	}
}

/**
 * Waits until a condition holds.
 *
 * @param condition - The condition to poll.
 * @throws Error if the condition does not hold before the timeout.
 */
export async function waitUntil(
	condition: () => boolean | Promise<boolean>,
): Promise<void> {
	const deadlineMs = performance.now() + waitTimeoutMs;
	while (!(await condition())) {
		if (performance.now() > deadlineMs) {
			throw new Error(`The condition did not hold within ${waitTimeoutMs} ms.`);
		}

		await sleep(pollIntervalMs);
	}
}

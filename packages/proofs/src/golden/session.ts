/** One entry host with its caller, targets and platform, all recorded. */

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {EntryHost, parseSettings} from '@bilberryscale/daemon';
import {
	AddressPlan,
	getEntrySettings,
	makeBundle,
	OperatorDesk,
	SimulatedPlatform,
	ports,
	type Deployment,
} from '@bilberryscale/standins';
import {request} from 'undici';
import {normalise} from './normalise.js';
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
const token = 'golden-operator-token';
const pollMs = 10;
const patienceMs = 5000;

/** A session that is being recorded. */
export class Session {
	readonly targets: readonly ScriptedTarget[];
	readonly platform = new SimulatedPlatform();
	readonly #plan: AddressPlan;
	readonly #operators = new OperatorDesk(['first', 'second']);
	readonly #host: EntryHost;
	readonly #exchanges: RecordedExchange[] = [];
	readonly #address: string;
	#version = 0;
	#stopped: Promise<void> | undefined;

	private constructor(plan: AddressPlan) {
		this.#plan = plan;
		const record = (exchange: RecordedExchange) => {
			this.#exchanges.push(exchange);
		};

		this.targets = plan
			.getTargets(deployment)
			.map((place) => new ScriptedTarget(place, record));
		const place = plan.getEntry(deployment, 0);
		this.#address = place.address;
		this.platform.onRead = (read) => {
			record({
				between: 'entry and platform',
				request: {method: 'GET', path: read.path},
				answer: {status: read.status, body: read.body},
			});
		};

		const settings = getEntrySettings({
			place,
			platform: plan.platform,
			trusted: this.#operators.trusted,
			threshold: 2,
			token,
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
	 * Starts all parties; no bundle is published yet.
	 *
	 * @returns The session.
	 */
	static async start(): Promise<Session> {
		const session = new Session(await AddressPlan.claim());
		await session.platform.listen(session.#plan.platform);
		await Promise.all(session.targets.map(async (target) => target.listen()));
		await session.#host.start();
		await waitUntil(() =>
			session.#exchanges.some(({request: {path}}) => path.includes('manifest')),
		);
		return session;
	}

	/**
	 * Rolls the next bundle and waits until it is in force.
	 *
	 * @param out - The data centre that is out.
	 */
	async roll(out: string): Promise<void> {
		this.#version++;
		const bundle = makeBundle({
			deployment,
			targets: this.#plan.getTargets(deployment),
			version: this.#version,
			out: [out],
		});
		const services = bundle.services.map((service) => ({...service, limits}));
		this.#operators.roll(this.platform, {...bundle, services});
		await waitUntil(async () => {
			const status = await this.#ask('/status');
			return status.includes(`"bundleVersion":${this.#version}`);
		});
	}

	/**
	 * Makes a call.
	 *
	 * @param sent - The call.
	 */
	async call(sent: RecordedRequest): Promise<void> {
		const url = `http://${this.#address}:${ports.callers}${sent.path}`;
		const answer = await request(url, {
			method: sent.method as 'GET',
			headers: (sent.headers ?? {}) as Record<string, string>,
			body: sent.body ?? null,
		});
		this.#exchanges.push({
			between: 'caller and entry',
			request: sent,
			answer: {
				status: answer.statusCode,
				headers: answer.headers,
				body: await answer.body.text(),
			},
		});
	}

	/** Stops the entry host as a signal does. */
	async stopHost(): Promise<void> {
		this.#stopped ??= this.#host.stop();
		await this.#stopped;
	}

	/**
	 * Ends all parties.
	 *
	 * @returns The lines of the session's golden file.
	 */
	async finish(): Promise<string[]> {
		await this.stopHost();
		for (const target of this.targets) {
			target.close();
		}

		await this.platform.close();
		this.#plan.release();
		const isRead = ({between}: RecordedExchange) =>
			between === 'entry and platform';
		return normalise([
			...this.#exchanges.filter((exchange) => !isRead(exchange)),
			...this.#exchanges.filter((exchange) => isRead(exchange)),
		]);
	}

	async #ask(path: string): Promise<string> {
		const url = `http://${this.#address}:${ports.operators}${path}`;
		const headers = {authorization: `Bearer ${token}`};
		const answer = await request(url, {headers});
		return answer.body.text();
	}
}

/**
 * Waits until something holds.
 *
 * @param isSo - Tells whether it holds.
 * @throws Error if it does not hold for long.
 */
export async function waitUntil(
	isSo: () => boolean | Promise<boolean>,
): Promise<void> {
	const endMs = performance.now() + patienceMs;
	while (!(await isSo())) {
		if (performance.now() > endMs) {
			throw new Error(`Not so after ${patienceMs} ms.`);
		}

		await sleep(pollMs);
	}
}

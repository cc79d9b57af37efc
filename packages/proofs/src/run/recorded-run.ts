/** A cluster whose faults are caused and recorded by one object. */

import fs from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Cluster,
	ports,
	type CallRecord,
	type Child,
	type ClusterOptions,
	type EntryPlace,
	type LoadPlan,
} from '@bilberryscale/standins';
import {readAudits} from '../history/read-audits.js';
import type {Absence, History, Roll, Shutdown} from '../history/history.js';
import {readLines} from '../utils/read-lines.js';

type RunLoad = Omit<LoadPlan, 'entries' | 'localAddress'>;

/** A running cluster and what was done to it. */
export class RecordedRun {
	readonly cluster: Cluster;
	readonly #rolls: Roll[] = [];
	readonly #shutdowns: Shutdown[] = [];
	readonly #absences: Absence[] = [];
	#load: {child: Child; historyFile: string} | undefined;

	private constructor(cluster: Cluster, startedAtMs: number) {
		this.cluster = cluster;
		this.#rolls.push({version: 1, atMs: startedAtMs, out: [], leaving: []});
	}

	/**
	 * Starts a cluster.
	 *
	 * @param options - The deployment and its size.
	 * @returns The run, with every entry host ready.
	 */
	static async start(options: ClusterOptions): Promise<RecordedRun> {
		const cluster = await Cluster.start(options);
		return new RecordedRun(cluster, Date.now());
	}

	/**
	 * Starts the callers.
	 *
	 * @param plan - The load.
	 */
	async startLoad(plan: RunLoad): Promise<void> {
		this.#load = this.cluster.startLoad(plan);
		await this.#load.child.waitForOutput('ready');
	}

	/**
	 * Rolls a bundle.
	 *
	 * @param out - The data centres that are out.
	 * @param leaving - The targets that the bundle no longer has.
	 */
	roll(out: readonly string[] = [], leaving: readonly string[] = []): void {
		const version = this.cluster.roll(out, leaving);
		this.#rolls.push({version, atMs: Date.now(), out, leaving});
	}

	/**
	 * Rolls two bundles with one version, as two operators at once do.
	 *
	 * @param first - The data centres that are out in the first bundle.
	 * @param second - The data centres that are out in the second bundle.
	 */
	rollTwice(first: readonly string[], second: readonly string[]): void {
		const version = this.cluster.rollTwice(first, second);
		const both = first.filter((name) => second.includes(name));
		this.#rolls.push({version, atMs: Date.now(), out: both, leaving: []});
	}

	/**
	 * Takes the platform away and gives it back.
	 *
	 * @param kind - Whether it is down or stale.
	 * @param durationMs - For how long, in milliseconds.
	 */
	async losePlatform(
		kind: 'down' | 'stale',
		durationMs: number,
	): Promise<void> {
		const {platform} = this.cluster;
		const set = (isLost: boolean) => {
			if (kind === 'down') {
				platform.setDown(isLost);
			} else {
				platform.setStale(isLost);
			}
		};

		const fromMs = Date.now();
		set(true);
		await sleep(durationMs);
		set(false);
		for (const {host} of this.cluster.entries) {
			this.#absences.push({host, fromMs, toMs: Date.now()});
		}
	}

	/**
	 * Kills a host at once and replaces it.
	 *
	 * @param place - The host.
	 * @param awayMs - How long it stays away, in milliseconds.
	 */
	async killHost(place: EntryPlace, awayMs: number): Promise<void> {
		const fromMs = Date.now();
		const child = this.cluster.getChildOrThrow(place.host);
		child.kill('SIGKILL');
		await child.waitForEnd();
		await sleep(awayMs);
		await this.#startAgain(place, fromMs);
	}

	/**
	 * Stops a host for a while and lets it wake.
	 *
	 * @param place - The host.
	 * @param durationMs - For how long, in milliseconds.
	 */
	async freezeHost(place: EntryPlace, durationMs: number): Promise<void> {
		const fromMs = Date.now();
		const child = this.cluster.getChildOrThrow(place.host);
		child.kill('SIGSTOP');
		await sleep(durationMs);
		child.kill('SIGCONT');
		this.#absences.push({host: place.host, fromMs, toMs: Date.now()});
	}

	/**
	 * Shuts a host down gracefully and replaces it.
	 *
	 * @param place - The host.
	 */
	async replaceHost(place: EntryPlace): Promise<void> {
		const fromMs = Date.now();
		const child = this.cluster.getChildOrThrow(place.host);
		child.kill('SIGTERM');
		const exitCode = await child.waitForEnd();
		this.#shutdowns.push({
			host: place.host,
			entry: `http://${place.address}:${ports.callers}`,
			fromMs,
			toMs: Date.now(),
			exitCode,
		});
		await this.#startAgain(place, fromMs);
	}

	/**
	 * Waits for the callers, ends everything and reads what was recorded.
	 *
	 * @returns The history of the run.
	 */
	async finish(): Promise<History> {
		await this.#load?.child.waitForEnd();
		const endedAtMs = Date.now();
		const {entries, targets, folder} = this.cluster;
		const history: History = {
			calls: this.#readCalls(),
			runs: this.cluster.getRuns(),
			audits: entries.flatMap(({host}) =>
				readAudits(path.join(folder, `${host}.log`)),
			),
			rolls: this.#rolls,
			shutdowns: this.#shutdowns,
			absences: this.#absences,
			sites: targets.map(({id, dataCentre}) => ({target: id, dataCentre})),
			hosts: entries.map(({host}) => host),
			endedAtMs,
		};
		await this.cluster.stop();
		return history;
	}

	#readCalls(): CallRecord[] {
		const file = this.#load?.historyFile;
		return file !== undefined && fs.existsSync(file)
			? (readLines(file) as CallRecord[])
			: [];
	}

	async #startAgain(place: EntryPlace, fromMs: number): Promise<void> {
		this.cluster.startEntry(place);
		await this.cluster.waitUntilReady([place]);
		this.#absences.push({host: place.host, fromMs, toMs: Date.now()});
	}
}

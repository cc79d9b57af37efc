/** Runs a cluster, injects faults and records the history. */

import fs from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Cluster,
	ports,
	type CallRecord,
	type ManagedProcess,
	type ClusterOptions,
	type EntryLocation,
	type LoadPlan,
} from '@bilberryscale/standins';
import {readAuditEntries} from '../history/read-audit-entries.js';
import type {Outage, History, Rollout, Shutdown} from '../history/history.js';
import {readJsonLines} from '../utils/read-json-lines.js';

type RunLoad = Omit<LoadPlan, 'entries' | 'localAddress'>;

/** A running cluster with a record of the rollouts and faults applied to it. */
export class RecordedRun {
	readonly cluster: Cluster;
	readonly #rollouts: Rollout[] = [];
	readonly #shutdowns: Shutdown[] = [];
	readonly #outages: Outage[] = [];
	#load: {child: ManagedProcess; historyFile: string} | undefined;

	private constructor(cluster: Cluster, startedAtMs: number) {
		this.cluster = cluster;
		this.#rollouts.push({
			version: 1,
			atMs: startedAtMs,
			drainedDataCentres: [],
			removedTargets: [],
		});
	}

	/**
	 * Starts a cluster.
	 *
	 * @param options - The deployment and the size of the cluster.
	 * @returns The run, once every entry host is ready.
	 */
	static async start(options: ClusterOptions): Promise<RecordedRun> {
		const cluster = await Cluster.start(options);
		return new RecordedRun(cluster, Date.now());
	}

	/**
	 * Starts the load generator and waits until it is ready.
	 *
	 * @param plan - The load to generate.
	 */
	async startLoad(plan: RunLoad): Promise<void> {
		this.#load = this.cluster.startLoad(plan);
		await this.#load.child.waitForOutput('ready');
	}

	/**
	 * Publishes a new version of the bundle.
	 *
	 * @param drainedDataCentres - The data centres to drain.
	 * @param removedTargets - The targets to leave out of the bundle.
	 */
	rollOutBundle(
		drainedDataCentres: readonly string[] = [],
		removedTargets: readonly string[] = [],
	): void {
		const version = this.cluster.publishBundle(
			drainedDataCentres,
			removedTargets,
		);
		this.#rollouts.push({
			version,
			atMs: Date.now(),
			drainedDataCentres,
			removedTargets,
		});
	}

	/**
	 * Publishes two different bundles under the same version, as two operators may do concurrently.
	 *
	 * @param firstDrained - The data centres that the first bundle drains.
	 * @param secondDrained - The data centres that the second bundle drains.
	 */
	rollOutConflictingBundles(
		firstDrained: readonly string[],
		secondDrained: readonly string[],
	): void {
		const version = this.cluster.publishConflictingBundles(
			firstDrained,
			secondDrained,
		);
		const drainedInBoth = firstDrained.filter((name) =>
			secondDrained.includes(name),
		);
		this.#rollouts.push({
			version,
			atMs: Date.now(),
			drainedDataCentres: drainedInBoth,
			removedTargets: [],
		});
	}

	/**
	 * Makes the platform unavailable or stale for a while, then restores it.
	 *
	 * @param kind - Whether the platform is down or serves stale values.
	 * @param durationMs - For how long, in milliseconds.
	 */
	async disruptPlatform(
		kind: 'down' | 'stale',
		durationMs: number,
	): Promise<void> {
		const {platform} = this.cluster;
		const setDisrupted = (isDisrupted: boolean) => {
			if (kind === 'down') {
				platform.setDown(isDisrupted);
			} else {
				platform.setStale(isDisrupted);
			}
		};

		const fromMs = Date.now();
		setDisrupted(true);
		await sleep(durationMs);
		setDisrupted(false);
		for (const {host} of this.cluster.entries) {
			this.#outages.push({host, fromMs, toMs: Date.now()});
		}
	}

	/**
	 * Kills a host with SIGKILL and starts a replacement.
	 *
	 * @param location - The host.
	 * @param downtimeMs - The time until the replacement starts, in milliseconds.
	 */
	async killHost(location: EntryLocation, downtimeMs: number): Promise<void> {
		const fromMs = Date.now();
		const child = this.cluster.getProcessOrThrow(location.host);
		child.kill('SIGKILL');
		await child.waitForExit();
		await sleep(downtimeMs);
		await this.#startReplacement(location, fromMs);
	}

	/**
	 * Suspends a host with SIGSTOP and resumes it.
	 *
	 * @param location - The host.
	 * @param durationMs - For how long, in milliseconds.
	 */
	async suspendHost(
		location: EntryLocation,
		durationMs: number,
	): Promise<void> {
		const fromMs = Date.now();
		const child = this.cluster.getProcessOrThrow(location.host);
		child.kill('SIGSTOP');
		await sleep(durationMs);
		child.kill('SIGCONT');
		this.#outages.push({host: location.host, fromMs, toMs: Date.now()});
	}

	/**
	 * Shuts a host down gracefully and starts a replacement.
	 *
	 * @param location - The host.
	 */
	async replaceHost(location: EntryLocation): Promise<void> {
		const fromMs = Date.now();
		const child = this.cluster.getProcessOrThrow(location.host);
		child.kill('SIGTERM');
		const exitCode = await child.waitForExit();
		this.#shutdowns.push({
			host: location.host,
			entry: `http://${location.address}:${ports.callers}`,
			fromMs,
			toMs: Date.now(),
			exitCode,
		});
		await this.#startReplacement(location, fromMs);
	}

	/**
	 * Waits for the load to end, stops the cluster and reads the recorded history.
	 *
	 * @returns The history of the run.
	 */
	async finish(): Promise<History> {
		await this.#load?.child.waitForExit();
		const endedAtMs = Date.now();
		const {entries, targets, folder} = this.cluster;
		const history: History = {
			calls: this.#readCalls(),
			runs: this.cluster.readRuns(),
			auditEntries: entries.flatMap(({host}) =>
				readAuditEntries(path.join(folder, `${host}.log`)),
			),
			rollouts: this.#rollouts,
			shutdowns: this.#shutdowns,
			outages: this.#outages,
			targetDataCentres: targets.map(({id, dataCentre}) => ({
				target: id,
				dataCentre,
			})),
			hosts: entries.map(({host}) => host),
			endedAtMs,
		};
		await this.cluster.stop();
		return history;
	}

	#readCalls(): CallRecord[] {
		const file = this.#load?.historyFile;
		return file !== undefined && fs.existsSync(file)
			? (readJsonLines(file) as CallRecord[])
			: [];
	}

	async #startReplacement(
		location: EntryLocation,
		fromMs: number,
	): Promise<void> {
		this.cluster.startEntry(location);
		await this.cluster.waitUntilReady([location]);
		this.#outages.push({host: location.host, fromMs, toMs: Date.now()});
	}
}

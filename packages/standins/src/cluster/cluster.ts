/** Runs a deployment as local processes. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	AddressPlan,
	ports,
	type EntryLocation,
	type TargetLocation,
} from '../deployment/address-plan.js';
import type {Deployment} from '../deployment/deployment.js';
import {makeBundle} from '../deployment/make-bundle.js';
import type {BalancedEntry, LoadPlan} from '../load/load-plan.js';
import {SimulatedPlatform} from '../platform/simulated-platform.js';
import {readRunLog, type RunRecord} from '../target/run-log.js';
import {TargetsControlClient} from '../target/targets-control-client.js';
import {BundlePublisher} from './bundle-publisher.js';
import {
	CertificateAuthority,
	type CertificateFiles,
} from './certificate-authority.js';
import {getEntrySettings} from './entry-settings.js';
import {ManagedProcess} from './managed-process.js';

/** The deployment of a cluster and its size. */
export type ClusterOptions = {
	readonly deployment: Deployment;
	readonly entryCount: number;
	readonly seed: number;
	/** The target selection policy; the daemon's default if absent. */
	readonly choice?: string;
	/** How long the shutdown of an entry host may take, in milliseconds; the daemon's default if absent. */
	readonly shutdownMs?: number;
};

const standinsDistFolder = path.join(
	path.dirname(fileURLToPath(import.meta.url)),
	'../../dist',
);
const daemonFile = path.join(
	standinsDistFolder,
	'../../daemon/dist/bin/bilberryscaled.js',
);
const operatorToken = 'operators-of-this-run';
const hostLeaveMs = 1000;
const readyPollMs = 50;
const readyTimeoutMs = 20_000;
const stopTimeoutMs = 20_000;

/**
 * A running deployment: the simulated platform in this process, and the entry
 * hosts, the targets and the load generator as child processes.
 */
export class Cluster {
	readonly platform = new SimulatedPlatform();
	readonly publisher = new BundlePublisher([
		'first-operator',
		'second-operator',
	]);

	readonly entries: readonly EntryLocation[];
	readonly targets: readonly TargetLocation[];
	/** Changes the behaviour of targets and reads their counters. */
	readonly targetsControl: TargetsControlClient;
	readonly folder: string;
	readonly #options: ClusterOptions;
	readonly #addressPlan: AddressPlan;
	readonly #children = new Map<string, ManagedProcess>();
	readonly #certificates = new Map<string, CertificateFiles>();
	#version = 0;

	private constructor(options: ClusterOptions, plan: AddressPlan) {
		this.#options = options;
		this.#addressPlan = plan;
		this.targetsControl = new TargetsControlClient(plan.control);
		this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberryscale-'));
		this.entries = Array.from({length: options.entryCount}, (_, index) =>
			plan.getEntryLocation(options.deployment, index),
		);
		this.targets = plan.getTargetLocations(options.deployment);
	}

	/**
	 * Starts the platform, the targets and the entry hosts, and waits until every
	 * entry host is ready.
	 *
	 * @param options - The deployment and the number of entry hosts.
	 * @returns The running cluster.
	 */
	static async start(options: ClusterOptions): Promise<Cluster> {
		const cluster = new Cluster(options, await AddressPlan.claim());
		await cluster.#startAll();
		return cluster;
	}

	/** The URLs of the entry hosts, for the balancer. */
	get balancedEntries(): readonly BalancedEntry[] {
		return this.entries.map(({address}) => ({
			callersUrl: `http://${address}:${ports.callers}`,
			readyUrl: `http://${address}:${ports.operators}/ready`,
		}));
	}

	/**
	 * Publishes a bundle with the next version.
	 *
	 * @param drainedDataCentres - The data centres that get no new requests.
	 * @param removedTargets - The IDs of the targets to leave out of the bundle.
	 * @returns The published version.
	 */
	publishBundle(
		drainedDataCentres: readonly string[] = [],
		removedTargets: readonly string[] = [],
	): number {
		this.#version++;
		this.#publishBundle(drainedDataCentres, removedTargets);
		return this.#version;
	}

	/**
	 * Publishes two different bundles under the same next version, as when two
	 * operators publish at once.
	 *
	 * @param firstDrained - The drained data centres of the first bundle.
	 * @param secondDrained - The drained data centres of the second bundle.
	 * @returns The version of both bundles.
	 */
	publishConflictingBundles(
		firstDrained: readonly string[],
		secondDrained: readonly string[],
	): number {
		this.#version++;
		this.#publishBundle(firstDrained, []);
		this.#publishBundle(secondDrained, []);
		return this.#version;
	}

	/**
	 * Starts a load generator in a process of its own.
	 *
	 * @param plan - The load; the cluster fills in the entry hosts and the local address.
	 * @returns The process and the file that it writes the records of all attempts to.
	 */
	startLoad(plan: Omit<LoadPlan, 'entries' | 'localAddress'>): {
		child: ManagedProcess;
		historyFile: string;
	} {
		const historyFile = path.join(this.folder, 'calls.jsonl');
		const completePlan: LoadPlan = {
			...plan,
			entries: this.balancedEntries,
			localAddress: this.#addressPlan.callers,
			historyFile,
		};
		const planFile = this.#write('load.json', JSON.stringify(completePlan));
		const child = this.#spawn('load', [
			path.join(standinsDistFolder, 'bin/load.js'),
			planFile,
		]);
		return {child, historyFile};
	}

	/** Reads the runs that the targets have logged so far. */
	readRuns(): RunRecord[] {
		return readRunLog(path.join(this.folder, 'runs.jsonl'));
	}

	/**
	 * Gets the latest process of an entry host.
	 *
	 * @param host - The host.
	 * @returns The process.
	 * @throws Error if none was started.
	 */
	getProcessOrThrow(host: string): ManagedProcess {
		const child = this.#children.get(host);
		if (child === undefined) {
			throw new Error(`No process was started for host "${host}".`);
		}

		return child;
	}

	/**
	 * Starts or restarts the process of an entry host.
	 *
	 * @param entry - The entry host.
	 */
	startEntry(entry: EntryLocation): void {
		const settings = getEntrySettings({
			leaveMs: hostLeaveMs,
			shutdownMs: this.#options.shutdownMs,
			entry,
			platform: this.#addressPlan.platform,
			trusted: this.publisher.trustedSigners,
			threshold: 2,
			token: operatorToken,
			certificate: this.#certificates.get(entry.host)!,
			...(this.#options.choice !== undefined && {
				choice: this.#options.choice,
			}),
		});
		const file = this.#write(`${entry.host}.toml`, settings);
		this.#spawn(entry.host, [daemonFile, '--settings', file]);
	}

	/**
	 * Waits until entry hosts are ready.
	 *
	 * @param entries - The entry hosts; all of them by default.
	 */
	async waitUntilReady(entries = this.entries): Promise<void> {
		await Promise.all(
			entries.map(async ({address}) =>
				waitForReady(`http://${address}:${ports.operators}/ready`),
			),
		);
	}

	/** Stops every process and the platform, and removes the files. */
	async stop(): Promise<void> {
		const children = [...this.#children.values()];
		for (const child of children) {
			child.kill('SIGTERM');
		}

		const timer = setTimeout(() => {
			for (const child of children) {
				child.kill('SIGKILL');
			}
		}, stopTimeoutMs);
		await Promise.all(children.map(async (child) => child.waitForExit()));
		clearTimeout(timer);
		await this.platform.close();
		this.#addressPlan.release();
		fs.rmSync(this.folder, {recursive: true, force: true});
	}

	#publishBundle(
		drainedDataCentres: readonly string[],
		removedTargets: readonly string[],
	): void {
		const {deployment} = this.#options;
		const targets = this.targets.filter(({id}) => !removedTargets.includes(id));
		this.publisher.publish(
			this.platform,
			makeBundle({
				deployment,
				targets,
				version: this.#version,
				drainedDataCentres,
			}),
		);
	}

	async #startAll(): Promise<void> {
		await this.platform.listen(this.#addressPlan.platform);
		this.platform.setHosts(
			this.entries.map(({host, dataCentre, address}) => ({
				id: host,
				dataCentre,
				address,
				peerPort: ports.peers,
				state: 'live',
			})),
		);
		this.publishBundle();
		await this.#startTargets();
		await this.#issueCertificates();
		for (const entry of this.entries) {
			this.startEntry(entry);
		}

		await this.waitUntilReady();
	}

	async #issueCertificates(): Promise<void> {
		const authority = new CertificateAuthority(this.folder);
		for (const {host} of this.entries) {
			this.#certificates.set(host, await authority.issue(host));
		}
	}

	async #startTargets(): Promise<void> {
		const file = this.#write(
			'targets.json',
			JSON.stringify({
				deployment: this.#options.deployment.name,
				places: this.targets,
				seed: this.#options.seed,
				logFile: path.join(this.folder, 'runs.jsonl'),
				control: this.#addressPlan.control,
			}),
		);
		const child = this.#spawn('targets', [
			path.join(standinsDistFolder, 'bin/targets.js'),
			file,
		]);
		await child.waitForOutput('ready');
	}

	#spawn(name: string, args: readonly string[]): ManagedProcess {
		const child = new ManagedProcess(
			name,
			args,
			path.join(this.folder, `${name}.log`),
		);
		this.#children.set(name, child);
		return child;
	}

	#write(name: string, text: string): string {
		const file = path.join(this.folder, name);
		fs.writeFileSync(file, text);
		return file;
	}
}

async function waitForReady(url: string): Promise<void> {
	const deadlineMs = Date.now() + readyTimeoutMs;
	while (!(await isReady(url))) {
		if (Date.now() > deadlineMs) {
			throw new Error(`${url} was not ready after ${readyTimeoutMs} ms.`);
		}

		await sleep(readyPollMs);
	}
}

async function isReady(url: string): Promise<boolean> {
	try {
		const response = await fetch(url);
		return response.ok;
	} catch {
		return false;
	}
}

/** Processes that a benchmark needs: entry process, simulated platform and targets. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseBundle, type Bundle} from '@bilberryscale/bundle';
import {
	AddressPlan,
	ManagedProcess,
	BundlePublisher,
	SimulatedPlatform,
	ports,
} from '@bilberryscale/standins';
import {stringify} from 'smol-toml';
import {makeBenchBundle, type BenchBundleSize} from './bench-bundle.js';

const moduleFolder = path.dirname(fileURLToPath(import.meta.url));
const daemonFile = path.join(
	moduleFolder,
	'../../../daemon/dist/bin/bilberryscaled.js',
);
const readyPollMs = 50;
const operatorToken = 'operators-of-the-bench';

/** Running entry process with its simulated platform and targets. */
export class BenchEnvironment {
	readonly entryUrl: string;
	readonly targetUrl: string;
	readonly #addressPlan: AddressPlan;
	readonly #platform = new SimulatedPlatform();
	readonly #tempFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'bench-'));
	#entry: ManagedProcess | undefined;
	#targets: ManagedProcess | undefined;

	private constructor(addressPlan: AddressPlan) {
		this.#addressPlan = addressPlan;
		this.entryUrl = `http://${this.#getAddress(1, 10)}:${ports.callers}`;
		this.targetUrl = `http://${this.#getAddress(1, 100)}:${ports.targets}`;
	}

	/**
	 * Starts the processes and waits until the entry process serves calls.
	 *
	 * @param size - Size of the bundle.
	 * @returns The running environment.
	 */
	static async start(size: BenchBundleSize): Promise<BenchEnvironment> {
		const environment = new BenchEnvironment(await AddressPlan.claim());
		await environment.#start(size);
		return environment;
	}

	/** Process ID of the entry process. */
	get entryPid(): number {
		return this.#entry!.pid;
	}

	/** Gets the log line with the event-loop delay of the entry process and resets its histogram. */
	async readLoopDelay(): Promise<string> {
		this.#entry!.kill('SIGUSR2');
		await sleep(readyPollMs * 4);
		const log = fs.readFileSync(
			path.join(this.#tempFolder, 'entry.log'),
			'utf8',
		);
		return log.split('\n').findLast((line) => line.includes('loopDelay')) ?? '';
	}

	/** Stops all processes and removes their files. */
	async stop(): Promise<void> {
		for (const child of [this.#entry, this.#targets]) {
			child?.kill('SIGTERM');
			await child?.waitForExit();
		}

		await this.#platform.close();
		this.#addressPlan.release();
		fs.rmSync(this.#tempFolder, {recursive: true, force: true});
	}

	async #start(size: BenchBundleSize): Promise<void> {
		const publisher = new BundlePublisher(['first', 'second']);
		const addresses = Array.from(
			{length: size.calledServiceTargets},
			(_, index) => this.#getAddress(1, 100 + index),
		);
		await this.#platform.listen(this.#addressPlan.platform);
		publisher.publish(this.#platform, this.#makeBundle(size, addresses));
		this.#targets = this.#spawn('targets', [
			path.join(moduleFolder, '../bin/targets.js'),
			String(ports.targets),
			...addresses,
		]);
		await this.#targets.waitForOutput('ready');
		this.#entry = this.#spawn('entry', [
			...(process.env.BENCH_NODE_OPTIONS ?? '').split(' ').filter(Boolean),
			'--import',
			path.join(moduleFolder, 'loop-probe.js'),
			daemonFile,
			'--settings',
			this.#writeSettings(publisher),
		]);
		await this.#waitUntilServing();
	}

	#makeBundle(size: BenchBundleSize, addresses: readonly string[]): Bundle {
		const bundle = makeBenchBundle(size, addresses, ports.targets);
		return parseBundle(stringify(bundle), 'bench').unwrap();
	}

	#writeSettings(publisher: BundlePublisher): string {
		const {platform} = this.#addressPlan;
		const address = this.#getAddress(1, 10);
		const file = path.join(this.#tempFolder, 'entry.toml');
		const settings = {
			host: 'entry-1',
			dataCentre: 'east',
			callers: {address, port: ports.callers},
			operators: {address, port: ports.operators, token: operatorToken},
			platform: {addresses: [`http://${platform.address}:${platform.port}`]},
			trust: {threshold: 2, keys: publisher.trustedSigners},
		};
		fs.writeFileSync(file, stringify(settings));
		return file;
	}

	async #waitUntilServing(): Promise<void> {
		while (!(await isServing(`${this.entryUrl}/service-0/item`))) {
			await sleep(readyPollMs);
		}
	}

	#getAddress(dataCentreNumber: number, machineNumber: number): string {
		return `127.${this.#addressPlan.run}.${dataCentreNumber}.${machineNumber}`;
	}

	#spawn(name: string, args: readonly string[]): ManagedProcess {
		return new ManagedProcess(
			name,
			args,
			path.join(this.#tempFolder, `${name}.log`),
		);
	}
}

async function isServing(url: string): Promise<boolean> {
	try {
		const {ok} = await fetch(url);
		return ok;
	} catch {
		return false;
	}
}

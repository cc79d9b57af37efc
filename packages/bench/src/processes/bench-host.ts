/** One entry process with its platform and its targets. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseBundle, type Bundle} from '@bilberryscale/bundle';
import {
	AddressPlan,
	Child,
	OperatorDesk,
	SimulatedPlatform,
	ports,
} from '@bilberryscale/standins';
import {stringify} from 'smol-toml';
import {getBenchBundle, type BenchSize} from './bench-bundle.js';

const srcFolder = path.dirname(fileURLToPath(import.meta.url));
const daemonFile = path.join(
	srcFolder,
	'../../../daemon/dist/bin/bilberryscaled.js',
);
const readyPollMs = 50;
const token = 'operators-of-the-bench';

/** The processes of a bench. */
export class BenchHost {
	readonly entryUrl: string;
	readonly targetUrl: string;
	readonly #plan: AddressPlan;
	readonly #platform = new SimulatedPlatform();
	readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bench-'));
	#entry: Child | undefined;
	#targets: Child | undefined;

	private constructor(plan: AddressPlan) {
		this.#plan = plan;
		this.entryUrl = `http://${this.#getAddress(1, 10)}:${ports.callers}`;
		this.targetUrl = `http://${this.#getAddress(1, 100)}:${ports.targets}`;
	}

	/**
	 * Starts the processes and waits until calls are served.
	 *
	 * @param size - The size of the bundle.
	 * @returns The running processes.
	 */
	static async start(size: BenchSize): Promise<BenchHost> {
		const host = new BenchHost(await AddressPlan.claim());
		await host.#start(size);
		return host;
	}

	/** Gets the process id of the entry process. */
	get entryPid(): number {
		return this.#entry!.pid;
	}

	/** Gets what the entry process printed last of its event loop. */
	async readLoopDelay(): Promise<string> {
		this.#entry!.kill('SIGUSR2');
		await sleep(readyPollMs * 4);
		const log = fs.readFileSync(path.join(this.#folder, 'entry.log'), 'utf8');
		return log.split('\n').findLast((line) => line.includes('loopDelay')) ?? '';
	}

	/** Ends everything. */
	async stop(): Promise<void> {
		for (const child of [this.#entry, this.#targets]) {
			child?.kill('SIGTERM');
			await child?.waitForEnd();
		}

		await this.#platform.close();
		this.#plan.release();
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}

	async #start(size: BenchSize): Promise<void> {
		const operators = new OperatorDesk(['first', 'second']);
		const addresses = Array.from({length: size.servedTargets}, (_, index) =>
			this.#getAddress(1, 100 + index),
		);
		await this.#platform.listen(this.#plan.platform);
		operators.roll(this.#platform, this.#makeBundle(size, addresses));
		this.#targets = this.#spawn('targets', [
			path.join(srcFolder, '../bin/targets.js'),
			String(ports.targets),
			...addresses,
		]);
		await this.#targets.waitForOutput('ready');
		this.#entry = this.#spawn('entry', [
			...(process.env.BENCH_NODE_OPTIONS ?? '').split(' ').filter(Boolean),
			'--import',
			path.join(srcFolder, 'loop-probe.js'),
			daemonFile,
			'--settings',
			this.#writeSettings(operators),
		]);
		await this.#waitUntilServed();
	}

	#makeBundle(size: BenchSize, addresses: readonly string[]): Bundle {
		const bundle = getBenchBundle(size, addresses, ports.targets);
		return parseBundle(stringify(bundle), 'bench').unwrap();
	}

	#writeSettings(operators: OperatorDesk): string {
		const {platform} = this.#plan;
		const address = this.#getAddress(1, 10);
		const file = path.join(this.#folder, 'entry.toml');
		const settings = {
			host: 'entry-1',
			dataCentre: 'east',
			callers: {address, port: ports.callers},
			operators: {address, port: ports.operators, token},
			platform: {addresses: [`http://${platform.address}:${platform.port}`]},
			trust: {threshold: 2, keys: operators.trusted},
		};
		fs.writeFileSync(file, stringify(settings));
		return file;
	}

	async #waitUntilServed(): Promise<void> {
		while (!(await isServed(`${this.entryUrl}/service-0/item`))) {
			await sleep(readyPollMs);
		}
	}

	#getAddress(centre: number, host: number): string {
		return `127.${this.#plan.run}.${centre}.${host}`;
	}

	#spawn(name: string, args: readonly string[]): Child {
		return new Child(name, args, path.join(this.#folder, `${name}.log`));
	}
}

async function isServed(url: string): Promise<boolean> {
	try {
		const {ok} = await fetch(url);
		return ok;
	} catch {
		return false;
	}
}

/** Starts the entry processes of a small deployment with the command of the deploy file. */

import {spawn} from 'node:child_process';
import {
	closeSync,
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {get, createServer} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const zones = ['ub-bayanzurkh', 'ub-khan-uul', 'ub-songino'];
const readyTimeoutMs = 20_000;
/** Longer than `contact_window_ms`: a process that has just started is not in touch. */
const settleMs = 4000;
const internalPorts = 16;
const portsPerFleet = internalPorts + 3;
const firstTriedPort = 20_000;
const triedPortRange = 10_000;

/** One entry process, with its own loopback address. */
export class Entry {
	readiness = undefined;
	child = undefined;
	#folder;
	#settingsFile;

	constructor({index, firstPort, folder, storeAddress}) {
		this.index = index;
		this.address = getAddress(index);
		this.front = {host: this.address, port: firstPort + 1};
		this.readiness = {host: this.address, port: firstPort};
		this.metrics = {host: this.address, port: firstPort + 3};
		this.#folder = folder;
		this.#settingsFile = path.join(folder, `entry-${index}.toml`);
		writeFileSync(
			this.#settingsFile,
			makeSettings({index, firstPort, storeAddress}),
		);
	}

	start() {
		const log = openSync(
			path.join(this.#folder, `entry-${this.index}.log`),
			'a',
		);
		this.child = spawn('node', ['target/bilberryscaled.cjs', 'entry'], {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: this.#folder,
				LANG: 'C',
				BILBERRYSCALE_BOOT: this.#settingsFile,
			},
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.exited = new Promise((resolve) => {
			this.child.once('exit', (code, signal) => {
				resolve({code, signal, atMs: performance.now()});
			});
		});
	}

	get isRunning() {
		return this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(name) {
		this.child.kill(name);
	}

	readLog() {
		return readFileSync(
			path.join(this.#folder, `entry-${this.index}.log`),
			'utf8',
		);
	}

	async waitUntilReady() {
		const untilMs = performance.now() + readyTimeoutMs;
		while (performance.now() < untilMs) {
			if ((await getStatus(this.readiness)) === 200) {
				return;
			}

			await sleep(100);
		}

		throw new Error(`entry ${this.index} is not ready`);
	}
}

/** Starts entry processes and runs a body with them; ends them afterwards. */
export async function withFleet({count, storeAddress}, body) {
	const folder = mkdtempSync(path.join(tmpdir(), 'bilberryscale-review-'));
	const firstPort = await findFreePorts(count);
	const entries = [];
	const endAll = () => {
		for (const entry of entries) {
			entry.child?.kill('SIGKILL');
		}

		rmSync(folder, {recursive: true, force: true});
	};

	const endOnSignal = () => {
		endAll();
		// eslint-disable-next-line unicorn/no-process-exit -- a script decides its own exit code.
		process.exit(2);
	};

	process.once('exit', endAll);
	process.once('SIGTERM', endOnSignal);
	process.once('SIGINT', endOnSignal);
	try {
		for (let index = 0; index < count; index++) {
			entries.push(new Entry({index, firstPort, folder, storeAddress}));
		}

		for (const entry of entries) {
			entry.start();
		}

		for (const entry of entries) {
			await entry.waitUntilReady();
		}

		await sleep(settleMs);
		return await body(entries);
	} finally {
		for (const entry of entries) {
			if (entry.child !== undefined && entry.isRunning) {
				entry.signal('SIGCONT');
				entry.signal('SIGKILL');
				await entry.exited;
			}
		}

		rmSync(folder, {recursive: true, force: true});
	}
}

function getAddress(index) {
	return `127.0.91.${index + 1}`;
}

async function getStatus({host, port}) {
	return new Promise((resolve) => {
		const request = get(
			{host, port, path: '/bilberryscale/readyz', agent: false, timeout: 500},
			(response) => {
				response.resume();
				resolve(response.statusCode);
			},
		);
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(0);
		});
	});
}

async function findFreePorts(count) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const first = firstTriedPort + Math.floor(Math.random() * triedPortRange);
		const checks = Array.from({length: portsPerFleet * count}, async (_, n) =>
			isFree(getAddress(n % count), first + Math.floor(n / count)),
		);
		const results = await Promise.all(checks);
		if (results.every(Boolean)) {
			return first;
		}
	}

	throw new Error('no free ports');
}

async function isFree(host, port) {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen({host, port}, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** The fields of the settings file in DEPLOY.md, with the bounds of the site `zovlogoon-gw`. */
function makeSettings({index, firstPort, storeAddress}) {
	const address = getAddress(index);
	const zone = zones[index % zones.length];
	return `[local]
node_name = "front-${zone}-${index + 1}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "${address}"
zone = "${zone}"
region = "ulaanbaatar"
counts_as_loss = false
bootstrap = true
[local.limits]
cpu_share = 0.54
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_port_range = [${firstPort + 3},${firstPort + 2 + internalPorts}]
seed_nodes = ["${getAddress(0)}:${firstPort + 2}"]
[network.listen]
front = "${address}:${firstPort + 1}"
ready_addr = "${address}:${firstPort}"
control = "${address}:${firstPort + 2}"
[network.zones]
${zones.map((name) => `${name} = "ulaanbaatar"`).join('\n')}
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
[platform.platform]
address = "${storeAddress}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","places","platform"]
[terms.fault_tolerance]
machines = 1
zones = 1
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_window_ms = 3000
ack_timeout_ms = 4000
catchup_s = 4
drain_timeout_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 58
cold_over = 1.5
cold_slack = 5
evac_ms = 5000
recover_s = 15
probes_per_s = 60
`;
}

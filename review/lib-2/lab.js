/** A small deployment on loopback addresses: entry processes as the deploy file starts them, with stand-ins for store, upstreams and clients. */

/* eslint-disable camelcase -- The platform's documents have their own field names. */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const root = path.resolve(
	path.dirname(fileURLToPath(import.meta.url)),
	'../..',
);

const crlf = '\r\n';
const maxScriptMs = 115_000;
const headEnd = Buffer.from('\r\n\r\n');
const startedAt = performance.now();

/**
 * When the last of some bytes is due that are sent at a rate.
 */
export function getDueMs(startedAtMs, sentBytes, bytesPerSecond) {
	return startedAtMs + (sentBytes / bytesPerSecond) * 1000;
}

/** Milliseconds since the start of the script. */
export function now() {
	return Math.round(performance.now() - startedAt);
}

/** Collects the lines of record.txt. */
export class RecordFile {
	#lines = [];
	#file;

	constructor(file) {
		this.#file = file;
	}

	add(text) {
		this.#lines.push(`${String(now()).padStart(7)} ms  ${text}`);
	}

	write() {
		fs.writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}

/** Splits a head into its first line and its headers, whose names become lower case. */
function parseHead(text) {
	const [first, ...lines] = text.split(crlf);
	const headers = {};
	for (const line of lines) {
		const colon = line.indexOf(':');
		headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
	}

	return {first, headers};
}

/** The platform's store: ranges, watches, eras and copies, as PROTOCOL.md and letter 4 say. */
export class Store {
	#items = new Map();
	#events = [];
	#watchers = new Set();
	#revision = 100;
	#era = 1;
	#server;
	/** Set to 'silent', 'busy' or 'reset' for a store that is down. */
	mode = 'serve';
	reads = 0;

	async listen(address) {
		this.#server = http.createServer((request, response) => {
			this.#serve(request, response);
		});
		await new Promise((resolve) => {
			this.#server.listen(0, address, resolve);
		});
		this.address = `${address}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	get revision() {
		return this.#revision;
	}

	set(key, value) {
		const rev = ++this.#revision;
		const text = Buffer.from(JSON.stringify(value)).toString('base64');
		const createRevision = this.#items.get(key)?.create_revision ?? rev;
		const item = {
			key,
			value: text,
			rev,
			create_revision: createRevision,
			lease: 0,
		};
		this.#items.set(key, item);
		this.#publish(item);
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#publish({key, rev: ++this.#revision, tombstone: true});
		}
	}

	has(key) {
		return this.#items.has(key);
	}

	takeCopy() {
		return {items: new Map(this.#items), revision: this.#revision};
	}

	restore({items, revision}) {
		this.#era++;
		this.#items = new Map(items);
		this.#events = [];
		this.#revision = revision;
		this.cutWatches();
	}

	cutWatches() {
		for (const {response} of this.#watchers) {
			response.destroy();
		}

		this.#watchers.clear();
	}

	#publish(event) {
		this.#events.push(event);
		for (const watcher of this.#watchers) {
			this.#watchers.delete(watcher);
			this.#answerWatch(watcher);
		}
	}

	#serve(request, response) {
		this.reads++;
		if (this.mode === 'silent') {
			return;
		}

		if (this.mode === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		response.setHeader('Store-Era', String(this.#era));
		response.setHeader('Content-Type', 'application/json');
		if (this.mode === 'busy') {
			response.writeHead(503);
			response.end('{}');
			return;
		}

		const {pathname, searchParams} = new URL(request.url, 'http://store');
		if (pathname === '/bilberryscale/kv-range') {
			const prefix = searchParams.get('prefix') ?? '';
			const after = searchParams.get('after') ?? '';
			const rest = [...this.#items.values()]
				.filter(({key}) => key.startsWith(prefix) && key > after)
				.toSorted((a, b) => (a.key < b.key ? -1 : 1));
			response.end(
				JSON.stringify({
					items: rest.slice(0, 50),
					has_more: rest.length > 50,
					as_of: this.#revision,
				}),
			);
			return;
		}

		const after = Number(searchParams.get('after'));
		if (after > this.#revision) {
			response.writeHead(410);
			response.end('{}');
			return;
		}

		const watcher = {after, response};
		const waitMs = Number(searchParams.get('wait_ms'));
		if (waitMs === 0 || this.#events.some(({rev}) => rev > after)) {
			this.#answerWatch(watcher);
			return;
		}

		this.#watchers.add(watcher);
		setTimeout(() => {
			if (this.#watchers.delete(watcher)) {
				this.#answerWatch(watcher);
			}
		}, waitMs);
	}

	#answerWatch({after, response}) {
		response.end(
			JSON.stringify({
				events: this.#events.filter(({rev}) => rev > after),
				as_of: this.#revision,
			}),
		);
	}
}

/** A machine's narrow link: passes bytes on to its far end, and what comes back at a rate. */
export class NarrowLink {
	#server;
	#sockets = new Set();

	constructor({target, bytesPerSecond}) {
		Object.assign(this, {target, bytesPerSecond});
	}

	async listen(address) {
		this.#server = net.createServer((near) => {
			const [host, port] = this.target.split(':');
			const far = net.connect({host, port: Number(port)});
			this.#join(near, far);
		});
		await new Promise((resolve) => {
			this.#server.listen(0, address, resolve);
		});
		this.address = `${address}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#join(near, far) {
		let dueMs = now();
		near.pipe(far);
		far.on('data', (bytes) => {
			// One link for all connections: what comes later waits for what came before.
			far.pause();
			dueMs = Math.max(this.dueMs ?? 0, now());
			this.dueMs = getDueMs(dueMs, bytes.length, this.bytesPerSecond);
			setTimeout(
				() => {
					near.write(bytes);
					far.resume();
				},
				Math.max(0, this.dueMs - now()),
			);
		});
		for (const [socket, other] of [
			[near, far],
			[far, near],
		]) {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
				other.destroy();
			});
		}
	}
}

/** An upstream that speaks HTTP/1.1 byte by byte. */
export class Upstream {
	/** Every request that it began to run: id, method, path, body length and time. */
	runs = [];
	/** Every request that reached it. */
	arrivals = [];
	running = 0;
	leaving = false;
	sockets = new Set();
	#seq = 0;
	#server;
	#beat;

	constructor({
		id,
		service,
		zone = 'z-a',
		slots = 4,
		workMs = 50,
		born = Date.now(),
		respond,
	}) {
		Object.assign(this, {
			id,
			service,
			zone,
			slots,
			workMs,
			born,
			respond,
		});
	}

	async listen(address, port = 0) {
		this.#server = net.createServer((socket) => {
			this.#accept(socket);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, resolve);
		});
		this.address = `${address}:${this.#server.address().port}`;
	}

	/** Writes its entry now and at each heartbeat. */
	register(store, beatMs = 1500) {
		this.store = store;
		this.writeEntry();
		this.#beat = setInterval(() => {
			this.writeEntry();
		}, beatMs);
	}

	unregister() {
		clearInterval(this.#beat);
		this.store?.remove(`servers/${this.id}`);
	}

	writeEntry(state = this.leaving ? 'draining' : 'ready') {
		this.#seq++;
		this.store.set(`servers/${this.id}`, {
			id: this.id,
			born: this.born,
			address: this.address,
			info: {
				service: this.service,
				zone: this.zone,
				version: 'v1',
				slots: this.slots,
			},
			status: {state, seq: this.#seq, warmup_left_ms: 0},
		});
	}

	close() {
		clearInterval(this.#beat);
		this.#server?.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	get load() {
		return `${this.running},0,${this.slots},100`;
	}

	/** Formats the head of an answer of this upstream. */
	formatHead(statusLine, id, headers = []) {
		return [
			`HTTP/1.1 ${statusLine}`,
			`Bilberryscale-Request-Id: ${id}`,
			`Bilberryscale-Upstream-Load: ${this.load}`,
			...headers,
			'',
			'',
		].join(crlf);
	}

	formatSuccess(id, body, headers = []) {
		return (
			this.formatHead('200 OK', id, [
				`Bilberryscale-Upstream-Seal: seal.${this.id}.${id}`,
				`Content-Length: ${Buffer.byteLength(body)}`,
				...headers,
			]) + body
		);
	}

	#accept(socket) {
		let pending = Buffer.alloc(0);
		let isBusy = false;
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
		const next = () => {
			const end = pending.indexOf(headEnd);
			if (isBusy || end === -1 || socket.destroyed) {
				return;
			}

			const {first, headers} = parseHead(pending.subarray(0, end).toString());
			const length = Number(headers['content-length'] ?? 0);
			const whole = end + headEnd.length + length;
			if (pending.length < whole) {
				return;
			}

			const body = Buffer.from(pending.subarray(end + headEnd.length, whole));
			pending = pending.subarray(whole);
			const [method, url] = first.split(' ');
			isBusy = true;
			this.#handle(
				{
					method,
					url,
					headers,
					body,
					socket,
				},
				() => {
					isBusy = false;
					next();
				},
			);
		};

		socket.on('data', (bytes) => {
			pending = Buffer.concat([pending, bytes]);
			next();
		});
	}

	async #handle(request, done) {
		const {method, url, headers, body, socket} = request;
		if (url === '/healthz') {
			const status = this.leaving ? '503 Service Unavailable' : '200 OK';
			socket.write(
				[
					`HTTP/1.1 ${status}`,
					`Bilberryscale-Instance-Id: ${this.id}`,
					`Bilberryscale-Upstream-Load: ${this.load}`,
					'Content-Length: 0',
					'',
					'',
				].join(crlf),
			);
			done();
			return;
		}

		const id = headers['bilberryscale-request-id'];
		this.arrivals.push({id, atMs: now()});
		const expected = headers['bilberryscale-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			socket.write(
				this.formatHead('421 Misdirected Request', id, [
					`Bilberryscale-Instance-Id: ${this.id}`,
					'Content-Length: 0',
				]),
			);
			done();
			return;
		}

		const begin = () => {
			this.runs.push({
				id,
				method,
				url,
				body,
				atMs: now(),
			});
		};

		if (this.respond === undefined) {
			begin();
			this.running++;
			await sleep(this.workMs);
			this.running--;
			socket.write(this.formatSuccess(id, `${this.id} ran ${id}`));
		} else {
			this.running++;
			await this.respond({
				...request,
				id,
				begin,
				upstream: this,
			});
			this.running--;
		}

		done();
	}
}

/** Reads the answers of a connection, one after another. */
class AnswerReader {
	#pending = Buffer.alloc(0);
	#answer;

	constructor(onAnswer) {
		this.onAnswer = onAnswer;
	}

	/** Whether the answer that has begun ends with the connection. */
	get current() {
		return this.#answer;
	}

	add(bytes) {
		this.#pending = Buffer.concat([this.#pending, bytes]);
		for (;;) {
			if (this.#answer === undefined) {
				const end = this.#pending.indexOf(headEnd);
				if (end === -1) {
					return;
				}

				const {first, headers} = parseHead(
					this.#pending.subarray(0, end).toString(),
				);
				this.#pending = this.#pending.subarray(end + headEnd.length);
				this.#answer = {
					status: Number(first.split(' ')[1]),
					headers,
					chunks: [],
					length: 0,
				};
			}

			if (!this.#readBody(this.#answer)) {
				return;
			}
		}
	}

	#take(count) {
		const bytes = this.#pending.subarray(0, count);
		this.#pending = this.#pending.subarray(count);
		this.#answer.chunks.push(bytes);
		this.#answer.length += bytes.length;
	}

	/** Returns whether the answer is complete, so that another may follow. */
	#readBody(answer) {
		const {headers} = answer;
		if (headers['transfer-encoding'] === 'chunked') {
			for (;;) {
				const end = this.#pending.indexOf(crlf);
				if (end === -1) {
					return false;
				}

				const size = Number.parseInt(
					this.#pending.subarray(0, end).toString(),
					16,
				);
				if (this.#pending.length < end + 4 + size) {
					return false;
				}

				this.#pending = this.#pending.subarray(end + 2);
				this.#take(size);
				this.#pending = this.#pending.subarray(2);
				if (size === 0) {
					return this.#finish('chunked');
				}
			}
		}

		if (headers['content-length'] !== undefined) {
			const length = Number(headers['content-length']);
			this.#take(Math.min(length - answer.length, this.#pending.length));
			return answer.length === length && this.#finish('length');
		}

		answer.isCloseDelimited = true;
		this.#take(this.#pending.length);
		return false;
	}

	#finish(framing) {
		const answer = this.#answer;
		this.#answer = undefined;
		this.onAnswer({...answer, framing, isComplete: true});
		return true;
	}

	/** Tells what is left at the end of the connection. */
	end(isReset) {
		const answer = this.#answer;
		this.#answer = undefined;
		if (answer !== undefined) {
			this.onAnswer({
				...answer,
				framing: answer.isCloseDelimited ? 'close' : 'cut',
				isComplete: answer.isCloseDelimited === true && !isReset,
			});
		}
	}
}

/** A client's connection to an entry process. */
export class ClientConnection {
	answers = [];
	ended;
	#waiters = [];

	constructor({address, port, bytesPerSecond}) {
		this.socket = net.connect({host: address, port});
		this.socket.setNoDelay(true);
		const reader = new AnswerReader((answer) => {
			this.answers.push({...answer, atMs: now()});
			this.#notify();
		});
		let isReset = false;
		this.socket.on('error', () => {
			isReset = true;
		});
		this.socket.on('end', () => {
			// A reset that arrives together with data is reported as an orderly end, but leaves no peer.
			isReset ||= this.socket.remoteAddress === undefined;
		});
		if (bytesPerSecond === undefined) {
			this.socket.on('data', (bytes) => {
				reader.add(bytes);
			});
		} else {
			this.#readSlowly(reader, bytesPerSecond);
		}

		this.socket.on('close', () => {
			reader.end(isReset);
			this.ended = isReset ? 'reset' : 'closed';
			this.#notify();
		});
	}

	/** Reads like a client behind a narrow link. */
	#readSlowly(reader, bytesPerSecond) {
		const tickMs = 20;
		const perTick = Math.floor((bytesPerSecond * tickMs) / 1000);
		this.socket.pause();
		let credit = 0;
		this.socket.on('data', (bytes) => {
			credit -= bytes.length;
			reader.add(bytes);
			if (credit <= 0) {
				this.socket.pause();
			}
		});
		const timer = setInterval(() => {
			credit = Math.min(perTick, credit + perTick);
			if (credit > 0) {
				this.socket.resume();
			}
		}, tickMs);
		this.socket.on('close', () => {
			clearInterval(timer);
		});
	}

	send({method = 'GET', url, host, id, deadlineMs, body, headers = []}) {
		this.socket.write(
			[
				`${method} ${url} HTTP/1.1`,
				`Host: ${host}`,
				`Bilberryscale-Request-Id: ${id}`,
				`Bilberryscale-Deadline-Ms: ${deadlineMs}`,
				...(body === undefined
					? []
					: [`Content-Length: ${Buffer.byteLength(body)}`]),
				...headers,
				'',
				body ?? '',
			].join(crlf),
		);
	}

	#notify() {
		for (const resolve of this.#waiters.splice(0)) {
			resolve();
		}
	}

	/** Waits until a number of answers has come or the connection has ended. */
	async wait(count, timeoutMs) {
		const untilMs = now() + timeoutMs;
		while (
			this.answers.length < count &&
			this.ended === undefined &&
			now() < untilMs
		) {
			await Promise.race([
				new Promise((resolve) => {
					this.#waiters.push(resolve);
				}),
				sleep(untilMs - now()),
			]);
		}

		return this.answers;
	}
}

/** Sends one request on a connection of its own. */
export async function call(host, request) {
	const client = new ClientConnection({
		address: host.address,
		port: host.port,
		bytesPerSecond: request.bytesPerSecond,
	});
	client.send(request);
	await client.wait(1, request.deadlineMs + 1500);
	client.socket.destroy();
	return client.answers[0] ?? {status: 0, ended: client.ended ?? 'unanswered'};
}

/** Formats `op/config`. */
export function makeConfig({version, routes, services, limits = {}}) {
	return {
		version: version.toString(16).padStart(8, '0'),
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 1_048_576,
			header_timeout_ms: 5000,
			idle_timeout_ms: 15_000,
			...limits,
		},
		listeners: [...new Set(routes.map(({host}) => host))].map((host) => ({
			host,
			rule_set: routes
				.filter((route) => route.host === host)
				.map((route) => ({
					name: route.name,
					type: route.type,
					target_latency_ms: route.aimMs ?? 800,
					priority: route.priority ?? 1,
					match: {prefix: route.prefix},
					action: {
						service: route.service,
						timeout_ms: route.timeoutMs ?? 3000,
						max_attempts: route.attempts ?? 3,
					},
				})),
		})),
		clusters: services.map((name) => ({
			name,
			health_path: '/healthz',
			max_conns: 240,
			warmup_s: 3,
			warmup_per_s: 3,
		})),
	};
}

async function canBind(address, port) {
	return new Promise((resolve) => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds ten free ports in a row on all addresses. */
async function findPorts(addresses) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const first = 10_000 + Math.floor(Math.random() * 20_000);
		const checks = addresses.flatMap((address) =>
			Array.from({length: 10}, (_, index) => canBind(address, first + index)),
		);
		const areFree = await Promise.all(checks);
		if (areFree.every(Boolean)) {
			return first;
		}
	}

	throw new Error('no free ports');
}

/** Entry processes, started with the command of the deploy file. */
export class Fleet {
	hosts = [];

	constructor({
		count,
		store,
		zones = ['z-a', 'z-b', 'z-c'],
		graceS = 6,
		linkMbps = 1000,
		getStoreAddress = () => store.address,
	}) {
		Object.assign(this, {
			count,
			store,
			zones,
			graceS,
			linkMbps,
			getStoreAddress,
		});
		const [third, fourth] = [80 + (process.pid % 60), 1];
		this.addresses = Array.from(
			{length: count},
			(_, index) => `127.0.${third}.${fourth + index}`,
		);
		this.directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-2-'));
	}

	async start() {
		// No process outlives the script, which ends by itself in time.
		process.once('exit', () => {
			for (const {child, exit} of this.hosts) {
				if (exit === undefined) {
					child.kill('SIGKILL');
				}
			}
		});
		setTimeout(() => {
			// eslint-disable-next-line unicorn/no-process-exit -- A program decides its own exit code.
			process.exit(2);
		}, maxScriptMs).unref();
		this.firstPort = await findPorts(this.addresses);
		for (const [index, address] of this.addresses.entries()) {
			const settings = path.join(this.directory, `settings-${index}.toml`);
			fs.writeFileSync(settings, this.#formatSettings(index, true));
			const host = {
				index,
				name: `front-${index + 1}`,
				address,
				port: this.firstPort + 1,
				settings,
			};
			this.hosts.push(host);
			this.launch(host);
		}
	}

	launch(host) {
		const output = fs.openSync(
			path.join(this.directory, `host-${host.index}.log`),
			'a',
		);
		host.exit = undefined;
		host.child = spawn(
			process.execPath,
			['target/bilberryscaled.cjs', 'entry'],
			{
				cwd: root,
				env: {
					PATH: process.env.PATH,
					HOME: process.env.HOME ?? '/tmp',
					BILBERRYSCALE_BOOT: host.settings,
				},
				stdio: ['ignore', output, output],
			},
		);
		fs.closeSync(output);
		const {child} = host;
		child.once('exit', (code, signal) => {
			if (host.child === child) {
				host.exit = {code, signal, atMs: now()};
			}
		});
	}

	/** Starts a host again, as the platform does after a stop or a kill. */
	relaunch(host) {
		fs.writeFileSync(host.settings, this.#formatSettings(host.index, false));
		this.launch(host);
	}

	readLog(host) {
		return fs
			.readFileSync(path.join(this.directory, `host-${host.index}.log`), 'utf8')
			.split('\n');
	}

	async isReady({address}) {
		return new Promise((resolve) => {
			const request = http.get(
				{
					host: address,
					port: this.firstPort,
					path: '/bilberryscale/readyz',
					timeout: 500,
				},
				(response) => {
					response.resume();
					resolve(response.statusCode === 200);
				},
			);
			request.on('error', () => {
				resolve(false);
			});
			request.on('timeout', () => {
				request.destroy();
			});
		});
	}

	/** Waits until all hosts are ready. */
	async waitUntilReady(timeoutMs = 15_000, hosts = this.hosts) {
		const untilMs = now() + timeoutMs;
		for (;;) {
			const ready = await Promise.all(
				hosts.map(async (host) => this.isReady(host)),
			);
			if (ready.every(Boolean)) {
				return;
			}

			if (now() > untilMs) {
				throw new Error('the hosts did not become ready');
			}

			await sleep(100);
		}
	}

	/** Ends all processes that this fleet has started. */
	async stop() {
		for (const {child, exit} of this.hosts) {
			if (exit === undefined) {
				child.kill('SIGKILL');
			}
		}

		while (this.hosts.some(({exit}) => exit === undefined)) {
			await sleep(20);
		}

		if (process.env.KEEP === undefined) {
			fs.rmSync(this.directory, {recursive: true, force: true});
		} else {
			process.stdout.write(`${this.directory}\n`);
		}
	}

	#formatSettings(index, isFirstStart) {
		const address = this.addresses[index];
		const first = this.firstPort;
		const seeds = this.addresses
			.slice(0, 3)
			.map((seed) => `"${seed}:${first + 2}"`);
		return `[local]
node_name = "front-${index + 1}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "${address}"
zone = "${this.zones[index % this.zones.length]}"
region = "r-1"
counts_as_loss = false
bootstrap = ${isFirstStart}
[local.limits]
cpu_share = 0.54
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = ${this.linkMbps}.0
disk_mb = 0
[network]
internal_port_range = [${first + 3},${first + 9}]
seed_nodes = [${seeds.join(',')}]
[network.listen]
front = "${address}:${first + 1}"
ready_addr = "${address}:${first}"
control = "${address}:${first + 2}"
[network.zones]
${this.zones.map((zone) => `${zone} = "r-1"`).join('\n')}
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
[platform.platform]
address = "${this.getStoreAddress(index)}"
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
grace_s = ${this.graceS}
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 60
cold_over = 1.5
cold_slack = 5
evac_ms = 5000
recover_s = 15
probes_per_s = 60
`;
	}
}

export {setTimeout as sleep} from 'node:timers/promises';

/** A stand-in for the platform's metadata store, after PROTOCOL.md. */

/* eslint camelcase: 'off' -- the platform's documents have field names of their own. */

import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const pageSize = 500;
/** How often a waiting watch looks for events, in milliseconds. */
const watchStepMs = 20;
const keptEvents = 5000;

/** Holds items in memory and serves range, key and watch reads. */
export class Store {
	#items = new Map();
	#events = [];
	#firstRevision = 10;
	#revision = 10;
	#era = 1;
	#isAway = false;
	#sockets = new Set();
	#server;

	constructor() {
		this.#server = createServer((request, response) => {
			this.#serve(request, response);
		});
		this.#server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
			if (this.#isAway) {
				socket.destroy();
			}
		});
	}

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	async listen() {
		await new Promise((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	set(key, document) {
		const value = Buffer.from(JSON.stringify(document)).toString('base64');
		this.#revision++;
		const previous = this.#items.get(key);
		const item = {
			key,
			value,
			rev: this.#revision,
			create_revision: previous?.create_revision ?? this.#revision,
			lease: 0,
		};
		this.#items.set(key, item);
		this.#addEvent(item);
	}

	remove(key) {
		this.#revision++;
		this.#items.delete(key);
		this.#addEvent({key, rev: this.#revision, tombstone: true});
	}

	/** Takes the copy that a drill restores. */
	copy() {
		return {items: new Map(this.#items), revision: this.#revision};
	}

	/** Ends all connections and accepts none until `restore` or `back`. */
	goAway() {
		this.#isAway = true;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	back() {
		this.#isAway = false;
	}

	/** Comes back from a copy: later writes are gone and their revisions are given out again. */
	restore({items, revision}) {
		this.#items = new Map(items);
		this.#revision = revision;
		this.#firstRevision = revision;
		this.#events = [];
		this.#era++;
		this.#isAway = false;
	}

	#addEvent(event) {
		this.#events.push(event);
		if (this.#events.length > keptEvents) {
			this.#firstRevision = this.#events.shift().rev;
		}
	}

	#serve(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		request.resume();
		response.setHeader('Store-Era', String(this.#era));
		if (pathname.endsWith('/kv-range')) {
			this.#serveRange(searchParams, response);
		} else if (pathname.endsWith('/kv-watch')) {
			this.#serveWatch(searchParams, response);
		} else {
			response.writeHead(404);
			response.end();
		}
	}

	#serveRange(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...this.#items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		sendJson(response, {
			items: found.slice(0, pageSize),
			has_more: found.length > pageSize,
			as_of: this.#revision,
		});
	}

	#serveWatch(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const untilMs = performance.now() + Number(query.get('wait_ms'));
		const era = this.#era;
		const look = () => {
			if (response.destroyed) {
				return;
			}

			if (
				era !== this.#era ||
				after > this.#revision ||
				after < this.#firstRevision
			) {
				response.setHeader('Store-Era', String(this.#era));
				response.writeHead(410);
				response.end();
				return;
			}

			const events = this.#events.filter(
				({key, rev}) => rev > after && key.startsWith(prefix),
			);
			if (events.length > 0 || performance.now() >= untilMs) {
				sendJson(response, {events, as_of: this.#revision});
				return;
			}

			setTimeout(look, watchStepMs);
		};

		look();
	}
}

function sendJson(response, body) {
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(body));
}

/** The listening side of a target, which can end and come back. */

import http, {type RequestListener} from 'node:http';
import type {TargetPlace} from '../deployment/address-plan.js';
import type {SimulatedNetwork} from './simulated-network.js';

/** What a listener works with. */
export type TargetListenerOptions = {
	readonly place: TargetPlace;
	/** How many connections may be open at once. */
	readonly connections: number;
	readonly network: SimulatedNetwork;
	readonly handle: RequestListener;
};

/** The server of one target over all its lives. */
export class TargetListener {
	/** Counts the connections over the limit. */
	refusedConnectionCount = 0;
	/** Counts the lives; each `close` ends one. */
	incarnation = 0;
	readonly #options: TargetListenerOptions;
	#server: http.Server | undefined;

	/**
	 * @param options - Where to listen and who takes the requests.
	 */
	constructor(options: TargetListenerOptions) {
		this.#options = options;
	}

	/** Tells whether the target listens. */
	get isListening(): boolean {
		return this.#server !== undefined;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		const {place, connections, network: links, handle} = this.#options;
		const server = http.createServer(handle);
		server.keepAliveTimeout = 0;
		server.maxConnections = connections;
		server.on('connection', (socket) => {
			links.addConnection(socket);
		});
		server.on('drop', () => {
			this.refusedConnectionCount++;
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(place.port, place.address, resolve);
		});
	}

	/** Stops to listen and cuts every connection. */
	close(): void {
		this.incarnation++;
		this.#server?.close();
		this.#server = undefined;
		this.#options.network.resetAllConnections();
	}
}

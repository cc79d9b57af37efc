/** The HTTP server of a target, which can be closed and restarted. */

import http, {type RequestListener} from 'node:http';
import type {TargetLocation} from '../deployment/address-plan.js';
import type {SimulatedNetwork} from './simulated-network.js';

/** The options of a `TargetListener`. */
export type TargetListenerOptions = {
	readonly location: TargetLocation;
	/** The maximum number of open connections. */
	readonly connections: number;
	readonly network: SimulatedNetwork;
	readonly handle: RequestListener;
};

/** The HTTP server of one target across restarts. */
export class TargetListener {
	/** The number of connections refused over the limit. */
	refusedConnectionCount = 0;
	/** The number of the current incarnation; `close` increments it. */
	incarnation = 0;
	readonly #options: TargetListenerOptions;
	#server: http.Server | undefined;

	/**
	 * @param options - The address, the connection limit and the request handler.
	 */
	constructor(options: TargetListenerOptions) {
		this.#options = options;
	}

	/** Checks whether the server listens. */
	get isListening(): boolean {
		return this.#server !== undefined;
	}

	/** Starts listening on the address of the target. */
	async listen(): Promise<void> {
		const {location, connections, network, handle} = this.#options;
		const server = http.createServer(handle);
		server.keepAliveTimeout = 0;
		server.maxConnections = connections;
		server.on('connection', (socket) => {
			network.addConnection(socket);
		});
		server.on('drop', () => {
			this.refusedConnectionCount++;
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(location.port, location.address, resolve);
		});
	}

	/** Stops listening and resets every connection. */
	close(): void {
		this.incarnation++;
		this.#server?.close();
		this.#server = undefined;
		this.#options.network.resetAllConnections();
	}
}

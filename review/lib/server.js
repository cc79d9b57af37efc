/** A stand-in for an upstream, after PROTOCOL.md: it tells its load, echoes ids and seals its answers. */

import {createServer} from 'node:http';

/** Serves requests with a handler, and health checks at once. */
export class Server {
	running = 0;
	slots = 4;
	/** Headers in all answers. */
	extraHeaders = {};
	#server;

	/**
	 * @param {{id: string, service: string, zone: number, run: Function}} options - `run` gets a request `{id, method, path, body, response, headers}` and answers it.
	 */
	constructor({id, service, zone, run}) {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.bornMs = Date.now();
		this.#server = createServer((request, response) => {
			this.#serve(request, response, run);
		});
		this.#server.keepAliveTimeout = 10_000;
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

	#serve(request, response, run) {
		response.setHeader(
			'Bilberryscale-Upstream-Load',
			`${this.running},0,${this.slots},100`,
		);
		for (const [name, value] of Object.entries(this.extraHeaders)) {
			response.setHeader(name, value);
		}

		if (request.url === '/healthz') {
			request.resume();
			response.setHeader('Bilberryscale-Instance-Id', this.id);
			response.end();
			return;
		}

		const chunks = [];
		request.on('data', (chunk) => {
			chunks.push(chunk);
		});
		request.once('end', () => {
			const id = String(request.headers['bilberryscale-request-id']);
			response.setHeader('Bilberryscale-Request-Id', id);
			const expected = request.headers['bilberryscale-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				response.setHeader('Bilberryscale-Not-Executed', '1');
				response.writeHead(421);
				response.end();
				return;
			}

			this.running++;
			response.once('close', () => {
				this.running--;
			});
			response.setHeader('Bilberryscale-Upstream-Seal', `${this.id}.${id}`);
			run({
				id,
				request,
				response,
				method: request.method,
				path: request.url,
				server: this,
			});
		});
	}
}

/** A target for tests that answers with raw bytes. */

import net, {type AddressInfo, type Socket} from 'node:net';

/** A received request. */
export type RawRequest = {
	readonly head: string;
	readonly body: string;
	readonly socket: Socket;
	/** The position among the target's requests, from 0. */
	readonly index: number;
};

/** Handles a request, usually by writing to its socket. */
export type RawScript = (request: RawRequest) => void;

/** A target on a free port of the loopback interface. */
export class RawTarget {
	readonly requests: RawRequest[] = [];
	readonly sockets = new Set<Socket>();
	readonly #server: net.Server;

	/**
	 * @param script - Handles each request.
	 */
	constructor(script: RawScript) {
		this.#server = net.createServer((socket) => {
			this.#serve(socket, script);
		});
	}

	/** The port; available once the target listens. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Destroys all connections and stops listening. */
	async close(): Promise<void> {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		await new Promise((resolve) => {
			this.#server.close(resolve);
		});
	}

	#serve(socket: Socket, script: RawScript): void {
		let text = '';
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => this.sockets.delete(socket));
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
			const request = this.#parseRequest(text, socket);
			if (request !== undefined) {
				text = '';
				this.requests.push(request);
				script(request);
			}
		});
	}

	#parseRequest(text: string, socket: Socket): RawRequest | undefined {
		const headEnd = text.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return undefined;
		}

		const head = text.slice(0, headEnd);
		const body = text.slice(headEnd + 4);
		const contentLength = Number(
			/content-length: (\d+)/iv.exec(head)?.[1] ?? 0,
		);
		return body.length < contentLength
			? undefined
			: {head, body, socket, index: this.requests.length};
	}
}

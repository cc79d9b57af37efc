/** A target that tests script byte by byte. */

import net, {type AddressInfo, type Socket} from 'node:net';

/** A request as the target read it. */
export type RawRequest = {
	readonly head: string;
	readonly body: string;
	readonly socket: Socket;
	/** Counts the requests of this target from 0. */
	readonly index: number;
};

/** What the target does with a request. */
export type RawScript = (request: RawRequest) => void;

/** A target on a free port of the loopback interface. */
export class RawTarget {
	readonly requests: RawRequest[] = [];
	readonly sockets = new Set<Socket>();
	readonly #server: net.Server;

	/**
	 * @param script - What the target does with each request.
	 */
	constructor(script: RawScript) {
		this.#server = net.createServer((socket) => {
			this.#serve(socket, script);
		});
	}

	/** Gets the port once the target listens. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Cuts every connection and stops listening. */
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
			const request = this.#take(text, socket);
			if (request !== undefined) {
				text = '';
				this.requests.push(request);
				script(request);
			}
		});
	}

	#take(text: string, socket: Socket): RawRequest | undefined {
		const end = text.indexOf('\r\n\r\n');
		if (end === -1) {
			return undefined;
		}

		const head = text.slice(0, end);
		const body = text.slice(end + 4);
		const size = Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0);
		return body.length < size
			? undefined
			: {head, body, socket, index: this.requests.length};
	}
}

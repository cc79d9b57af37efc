/** An HTTP client for tests that sends and receives raw bytes. */

import net, {type Socket} from 'node:net';

/** A parsed response. */
export type RawResponse = {
	readonly status: number;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
	/** Everything that was received on the connection. */
	readonly text: string;
};

/** A client connection. */
export class RawCaller {
	readonly socket: Socket;
	receivedText = '';
	readonly closed: Promise<void>;

	/**
	 * @param port - The server's port on the loopback interface.
	 */
	constructor(port: number) {
		this.socket = net.connect(port, '127.0.0.1');
		this.socket.on('error', () => undefined);
		this.socket.on('data', (chunk) => {
			this.receivedText += chunk.toString('latin1');
		});
		this.closed = new Promise((resolve) => {
			this.socket.once('close', () => {
				resolve();
			});
		});
	}

	/**
	 * Sends bytes.
	 *
	 * @param text - The bytes as Latin-1.
	 */
	send(text: string): void {
		this.socket.write(text, 'latin1');
	}

	/**
	 * Reads until the other side closes the connection.
	 *
	 * @returns The first response.
	 */
	async readToEnd(): Promise<RawResponse> {
		await this.closed;
		return parseResponse(this.receivedText);
	}
}

/**
 * Parses a response and decodes a chunked body.
 *
 * @param text - The received bytes as Latin-1.
 * @returns The response.
 */
export function parseResponse(text: string): RawResponse {
	const headEnd = text.indexOf('\r\n\r\n');
	const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n');
	const headers = new Map(
		lines.map((line) => {
			const colon = line.indexOf(':');
			return [
				line.slice(0, colon).toLowerCase(),
				line.slice(colon + 1).trim(),
			] as const;
		}),
	);
	const rest = text.slice(headEnd + 4);
	const isChunked = headers.get('transfer-encoding') === 'chunked';
	return {
		status: Number(statusLine.split(' ')[1]),
		headers,
		body: isChunked ? decodeChunkedBody(rest) : rest,
		text,
	};
}

function decodeChunkedBody(text: string): string {
	const lineEnd = text.indexOf('\r\n');
	const size = Number.parseInt(text.slice(0, lineEnd), 16);
	return size > 0
		? text.slice(lineEnd + 2, lineEnd + 2 + size) +
				decodeChunkedBody(text.slice(lineEnd + 4 + size))
		: '';
}

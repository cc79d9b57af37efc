/** A caller that tests script byte by byte. */

import net, {type Socket} from 'node:net';

/** An answer as the caller read it. */
export type RawAnswer = {
	readonly status: number;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
	/** Everything up to the end of the connection. */
	readonly text: string;
};

/** A connection of a caller. */
export class RawCaller {
	readonly socket: Socket;
	text = '';
	readonly closed: Promise<void>;

	/**
	 * @param port - The port on the loopback interface.
	 */
	constructor(port: number) {
		this.socket = net.connect(port, '127.0.0.1');
		this.socket.on('error', () => undefined);
		this.socket.on('data', (chunk) => {
			this.text += chunk.toString('latin1');
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
	 * @returns The first answer.
	 */
	async readToEnd(): Promise<RawAnswer> {
		await this.closed;
		return parseAnswer(this.text);
	}
}

/**
 * Parses an answer; chunks of its body are joined.
 *
 * @param text - The bytes of the connection.
 * @returns The answer.
 */
export function parseAnswer(text: string): RawAnswer {
	const end = text.indexOf('\r\n\r\n');
	const [statusLine = '', ...lines] = text.slice(0, end).split('\r\n');
	const headers = new Map(
		lines.map((line) => {
			const colon = line.indexOf(':');
			return [
				line.slice(0, colon).toLowerCase(),
				line.slice(colon + 1).trim(),
			] as const;
		}),
	);
	const rest = text.slice(end + 4);
	const isChunked = headers.get('transfer-encoding') === 'chunked';
	return {
		status: Number(statusLine.split(' ')[1]),
		headers,
		body: isChunked ? joinChunks(rest) : rest,
		text,
	};
}

function joinChunks(text: string): string {
	const end = text.indexOf('\r\n');
	const size = Number.parseInt(text.slice(0, end), 16);
	return size > 0
		? text.slice(end + 2, end + 2 + size) +
				joinChunks(text.slice(end + 4 + size))
		: '';
}

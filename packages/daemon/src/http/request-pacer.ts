/** Limits what the parser of requests gets of a caller's connection in a turn of the event loop. */

import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	processReadSchedule,
	type ReadSchedule,
} from '../upstream/read-schedule.js';
import {SliceSize} from '../upstream/slice-size.js';

/** How much is parsed at once when it arrives; the rest is parsed in turn with other connections. */
const immediateBytes = 1024;
const headEnd = '\r\n\r\n';
/** Small pieces of a body take longer than their bytes. */
const sliceBounds = {
	initialBytes: 1024,
	minBytes: 256,
	maxBytes: 65_536,
};

/** The limits of a connection. */
export type RequestPacerOptions = {
	/** Shares the event loop with other connections; that of the process by default. */
	readonly schedule?: ReadSchedule;
	/** How many requests may be open before what follows them is parsed; any number by default. */
	readonly maxOpenRequests?: number;
};

/**
 * Reads from a connection of an HTTP server and passes the bytes to the server's parser.
 *
 * @remarks The server's own listener would be given all that has arrived at once.
 */
export class RequestPacer {
	readonly #socket: Socket;
	readonly #schedule: ReadSchedule;
	readonly #maxOpenRequests: number;
	readonly #parse: (bytes: Buffer) => void;
	readonly #slice = new SliceSize(sliceBounds);
	/** How much was parsed since all that had arrived was parsed last, in bytes. */
	#burstLength = 0;
	/** Whether the server has paused the connection because its responses wait for the caller. */
	#isPaused = false;
	#isWaiting = false;
	#isStopped = false;
	/** The latest request; undefined before the first. */
	#request: IncomingMessage | undefined;
	#openRequestCount = 0;

	/**
	 * @param socket - A connection that the server has just accepted.
	 * @param options - The limits of the connection.
	 */
	constructor(
		socket: Socket,
		{
			schedule = processReadSchedule,
			maxOpenRequests = Number.POSITIVE_INFINITY,
		}: RequestPacerOptions = {},
	) {
		this.#socket = socket;
		this.#schedule = schedule;
		this.#maxOpenRequests = maxOpenRequests;
		const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
		if (parse === undefined) {
			throw new Error('the server has not accepted the connection');
		}

		this.#parse = parse.bind(socket);
		socket.removeListener('data', parse);
		const pause = socket.pause.bind(socket);
		const resume = socket.resume.bind(socket);
		socket.pause = () => {
			this.#isPaused = true;
			return pause();
		};

		socket.resume = () => {
			this.#isPaused = false;
			resume();
			this.#waitForTurn();
			return socket;
		};

		socket.on('readable', this.#read);
	}

	/**
	 * Adds a request of the connection, as soon as its head is parsed; it is open until its response closes.
	 *
	 * @param request - The request.
	 * @param response - Its response.
	 */
	addRequest(request: IncomingMessage, response: ServerResponse): void {
		this.#request = request;
		if (Number.isFinite(this.#maxOpenRequests)) {
			this.#openRequestCount++;
			response.once('close', () => {
				this.#openRequestCount--;
				this.#waitForTurn();
			});
		}
	}

	/** Parses all that has arrived at once, for example before the server closes. */
	parseAll(): void {
		while (this.#canRead && this.#socket.readableLength > 0) {
			if (this.#isFull || !this.#parseSome(this.#socket.readableLength)) {
				return;
			}
		}
	}

	/** Stops to parse, because the connection is not used for HTTP any more. */
	stop(): void {
		this.#isStopped = true;
		this.#socket.off('readable', this.#read);
	}

	readonly #read = (): void => {
		while (this.#canRead) {
			const available = this.#socket.readableLength;
			if (available > 0 && this.#isFull) {
				return;
			}

			const immediate = immediateBytes - this.#burstLength;
			if (available > 0 && immediate <= 0) {
				this.#waitForTurn();
				return;
			}

			if (!this.#parseSome(Math.min(available, immediate))) {
				this.#burstLength = 0;
				this.#slice.reset();
				return;
			}
		}
	};

	get #canRead(): boolean {
		return !this.#isPaused && !this.#isStopped && !this.#socket.destroyed;
	}

	/** Whether what arrives belongs to a further request that has to wait. */
	get #isFull(): boolean {
		return (
			this.#openRequestCount >= this.#maxOpenRequests &&
			this.#request?.complete === true
		);
	}

	/** Parses up to a number of bytes; returns false if none have arrived. */
	#parseSome(size: number): boolean {
		// Without a size, an empty socket is told to receive more.
		const bytes = (
			size > 0 ? this.#socket.read(size) : this.#socket.read()
		) as Buffer | null;
		if (bytes === null) {
			return false;
		}

		const head = this.#cutAfterHead(bytes);
		this.#burstLength += head.length;
		this.#parse(head);
		return true;
	}

	/** Gets the bytes up to the end of a head and puts the rest back, as it may hold many more requests. */
	#cutAfterHead(bytes: Buffer): Buffer {
		if (this.#request?.complete === false) {
			return bytes;
		}

		const index = bytes.indexOf(headEnd);
		const end = index + headEnd.length;
		if (index === -1 || end === bytes.length) {
			return bytes;
		}

		this.#socket.unshift(bytes.subarray(end));
		return bytes.subarray(0, end);
	}

	#waitForTurn(): void {
		if (!this.#isWaiting) {
			this.#isWaiting = true;
			this.#schedule.add(this.#readInTurn);
		}
	}

	readonly #readInTurn = (): void => {
		this.#isWaiting = false;
		if (!this.#canRead) {
			return;
		}

		const {clock} = this.#schedule;
		const startedAtMs = clock.monotonicMs();
		const available = this.#socket.readableLength;
		if (available > 0 && !this.#isFull) {
			this.#parseSome(Math.min(available, this.#slice.bytes));
			this.#slice.adapt(clock.monotonicMs() - startedAtMs);
		}

		this.#read();
	};
}

/** A client that sends one request on a connection of its own and reads the answer byte by byte. */

import {Buffer} from 'node:buffer';
import {Agent, get} from 'node:http';
import {connect} from 'node:net';
import {host} from './documents.js';

/**
 * Sends a request.
 *
 * @returns {Promise<object>} `status`, `headers`, `bodyBytes`, `isComplete` by HTTP/1.1, and how the connection `ended` (`answered`, `closed` or `reset`).
 */
export async function send(
	front,
	{id, method = 'GET', path, body, deadlineMs = 10_000, readPauseMs = 0},
) {
	return new Promise((resolve) => {
		const socket = connect(front);
		const answer = new AnswerReader();
		let isDone = false;
		const finish = (ended) => {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				socket.destroy();
				resolve(answer.getResult(ended));
			}
		};

		const timer = setTimeout(() => {
			finish('timeout');
		}, deadlineMs + 1000);
		socket.on('data', (bytes) => {
			answer.add(bytes);
			if (readPauseMs > 0) {
				socket.pause();
				setTimeout(() => {
					socket.resume();
				}, readPauseMs);
			}

			if (answer.isFramedEnd) {
				finish('answered');
			}
		});
		socket.once('end', () => {
			finish('closed');
		});
		socket.once('error', () => {
			finish('reset');
		});
		const head = [
			`${method} ${path} HTTP/1.1`,
			`Host: ${host}`,
			`Bilberryscale-Request-Id: ${id}`,
			`Bilberryscale-Deadline-Ms: ${deadlineMs}`,
			...(body === undefined
				? []
				: [`Content-Length: ${Buffer.byteLength(body)}`]),
		];
		socket.write(`${head.join('\r\n')}\r\n\r\n${body ?? ''}`);
	});
}

/** Reads one answer as HTTP/1.1 frames it: by a length, in chunks, or by the end of the connection. */
class AnswerReader {
	#bytes = Buffer.alloc(0);
	#bodyBytes = 0;
	#head = undefined;
	/** Of a chunked body: bytes left of the chunk; undefined while its size is awaited. */
	#chunkLeft = undefined;
	#isLastChunk = false;

	add(bytes) {
		this.#bytes =
			this.#bytes.length === 0 ? bytes : Buffer.concat([this.#bytes, bytes]);
		if (this.#head === undefined) {
			this.#readHead();
		}

		if (this.#head === undefined) {
			return;
		}

		if (this.#isChunked) {
			this.#readChunks();
			return;
		}

		const {'content-length': length} = this.#head.headers;
		const taken = Math.min(
			this.#bytes.length,
			length === undefined
				? this.#bytes.length
				: Number(length) - this.#bodyBytes,
		);
		this.#bodyBytes += taken;
		this.#bytes = this.#bytes.subarray(taken);
	}

	/** The bytes after the answer, if it has ended. */
	get rest() {
		return this.#bytes;
	}

	get isFramedEnd() {
		if (this.#head === undefined) {
			return false;
		}

		const length = this.#head.headers['content-length'];
		return this.#isChunked
			? this.#isLastChunk
			: length !== undefined && this.#bodyBytes >= Number(length);
	}

	getResult(ended) {
		if (this.#head === undefined) {
			return {status: 0, headers: {}, bodyBytes: 0, isComplete: false, ended};
		}

		const {status, headers} = this.#head;
		const isDelimitedByClose =
			!this.#isChunked && headers['content-length'] === undefined;
		return {
			status,
			headers,
			bodyBytes: this.#bodyBytes,
			isComplete: isDelimitedByClose ? ended === 'closed' : this.isFramedEnd,
			isDelimitedByClose,
			ended,
		};
	}

	get #isChunked() {
		return this.#head.headers['transfer-encoding'] === 'chunked';
	}

	#readHead() {
		const end = this.#bytes.indexOf('\r\n\r\n');
		if (end === -1) {
			return;
		}

		const [statusLine, ...lines] = this.#bytes
			.subarray(0, end)
			.toString('latin1')
			.split('\r\n');
		const headers = {};
		for (const line of lines) {
			const colon = line.indexOf(':');
			headers[line.slice(0, colon).toLowerCase()] = line
				.slice(colon + 1)
				.trim();
		}

		this.#head = {status: Number(statusLine.split(' ')[1]), headers};
		this.#bytes = this.#bytes.subarray(end + 4);
	}

	#readChunks() {
		while (!this.#isLastChunk) {
			if (this.#chunkLeft === undefined) {
				const end = this.#bytes.indexOf('\r\n');
				if (end === -1) {
					return;
				}

				const size = Number.parseInt(
					this.#bytes.subarray(0, end).toString('latin1'),
					16,
				);
				this.#bytes = this.#bytes.subarray(end + 2);
				if (size === 0) {
					this.#isLastChunk = true;
					return;
				}

				this.#chunkLeft = size + 2;
			}

			const taken = Math.min(this.#chunkLeft, this.#bytes.length);
			const payload = Math.min(taken, Math.max(0, this.#chunkLeft - 2));
			this.#bodyBytes += payload;
			this.#bytes = this.#bytes.subarray(taken);
			this.#chunkLeft -= taken;
			if (this.#chunkLeft > 0) {
				return;
			}

			this.#chunkLeft = undefined;
		}
	}
}

/** A client that keeps one connection for all its requests while the entry process does. */
export class KeptClient {
	#front;
	#agent = new Agent({keepAlive: true, maxSockets: 1});

	/** @param {{host: string, port: number}} front - Where the entry process accepts clients. */
	constructor(front) {
		this.#front = front;
	}

	/** Sends a request; `isKept` says whether its connection has carried an answer before. */
	async send({id, path, deadlineMs = 3000}) {
		return new Promise((resolve) => {
			const request = get(
				{
					...this.#front,
					path,
					agent: this.#agent,
					headers: {
						Host: host,
						'Bilberryscale-Request-Id': id,
						'Bilberryscale-Deadline-Ms': String(deadlineMs),
					},
				},
				(response) => {
					response.resume();
					response.once('close', () => {
						finish(response.complete ? response.statusCode : 0);
					});
				},
			);
			let hasTimedOut = false;
			const finish = (status) => {
				clearTimeout(timer);
				resolve({id, status, isKept: request.reusedSocket, hasTimedOut});
			};

			const timer = setTimeout(() => {
				hasTimedOut = true;
				request.destroy();
			}, deadlineMs + 1000);
			request.once('error', () => {
				finish(0);
			});
		});
	}

	close() {
		this.#agent.destroy();
	}
}

/** A client that sends safe requests on one connection without waiting for the answers before. */
export class PipeliningClient {
	#socket;
	#reader = new AnswerReader();
	/** The requests without a whole answer, the oldest first. */
	#pending = [];
	#ended = undefined;

	/** @param {{host: string, port: number}} front - Where the entry process accepts clients. */
	constructor(front) {
		this.#socket = connect(front);
		this.#socket.on('data', (bytes) => {
			this.#read(bytes);
		});
		this.#socket.once('end', () => {
			this.#end('closed');
		});
		this.#socket.once('error', () => {
			this.#end('reset');
		});
	}

	async send({id, path, deadlineMs = 10_000}) {
		return new Promise((resolve) => {
			const finish = (answer) => {
				resolve({id, ...answer});
			};

			if (this.#ended !== undefined) {
				finish(this.#reader.getResult(this.#ended));
				return;
			}

			this.#pending.push(finish);
			const head = [
				`GET ${path} HTTP/1.1`,
				`Host: ${host}`,
				`Bilberryscale-Request-Id: ${id}`,
				`Bilberryscale-Deadline-Ms: ${deadlineMs}`,
			];
			this.#socket.write(`${head.join('\r\n')}\r\n\r\n`);
		});
	}

	close() {
		this.#end('closed by the client');
		this.#socket.destroy();
	}

	#read(bytes) {
		this.#reader.add(bytes);
		while (this.#reader.isFramedEnd) {
			const {rest} = this.#reader;
			this.#pending.shift()?.(this.#reader.getResult('answered'));
			this.#reader = new AnswerReader();
			this.#reader.add(rest);
		}
	}

	#end(ended) {
		this.#ended = ended;
		for (const finish of this.#pending.splice(0)) {
			finish(this.#reader.getResult(ended));
		}
	}
}

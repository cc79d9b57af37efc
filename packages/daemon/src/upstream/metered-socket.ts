/** Limits what the parser of responses gets of a socket, in a turn of the event loop and for a response. */

import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {processReadSchedule, type ReadSchedule} from './read-schedule.js';
import {
	ResponseFloodError,
	type ResponseFlood,
	type ResponseFloodKind,
} from './response-flood.js';
import {SliceSize} from './slice-size.js';

/** How far the response has come that a connection waits for. */
export type ResponseProgress = {
	/** The bytes of the body so far, without their framing. */
	readonly bodyLength: number;
	readonly informationalCount: number;
	readonly hasHead: boolean;
	/** Whether the head states a short length, so that the body needs little time. */
	readonly hasShortLength: boolean;
	readonly hasEnded: boolean;
	/** Whether nothing more should be read until {@link MeteredSocket.resume} is called. */
	readonly isPaused: boolean;
};

/** Whom a meter tells what, and what it depends on. */
export type MeteredSocketOptions = {
	/** Gets the progress of the current response; undefined before the first request. */
	readonly getProgress: () => ResponseProgress | undefined;
	readonly onFlood: (flood: ResponseFlood) => void;
	readonly schedule?: ReadSchedule;
};

/** How much of a response is read at once when it arrives, until its head is complete and after that; the rest is read in turn with other connections. */
const immediateHeadBytes = 1024;
const immediateBytes = 4096;
/** The same for a body whose head states a short length. */
const immediateShortBodyBytes = 131_072;
const sliceBounds = {
	initialBytes: immediateBytes,
	minBytes: 1024,
	maxBytes: 65_536,
};
/** How long everything before the end of the final head may be, in bytes and in lines. */
const maxHeadBytes = 32_768;
const maxHeadLines = 512;
/** How many bytes of framing, such as chunk extensions or trailers, may come without a byte of the body. */
const maxFramingGapBytes = 8192;
/** How many lines may come without a byte of the body: the parser keeps an object for each part of a trailer. */
const maxFramingGapLines = 256;
/** How many bytes of a response may be no body, however short that is. */
const maxOverheadBytes = 65_536;
/** How many bytes of framing each byte of a body allows: a chunk of one byte takes five. */
const overheadPerBodyByte = 8;
/** How much framing small chunks allow at most, in bytes; beyond it, there may be as much framing as body. */
const maxSmallChunkOverheadBytes = 786_432;
const lineFeed = 0x0a;

/** Replaces the `read` method of a socket. */
export class MeteredSocket {
	readonly #socket: Socket;
	readonly #options: MeteredSocketOptions;
	readonly #schedule: ReadSchedule;
	readonly #readFromSocket: (size?: number) => Buffer | null;
	/** How many bytes the parser got since the current request was sent. */
	#length = 0;
	/** How many lines it got before the end of the final head. */
	#headLines = 0;
	/** The length of the body when it was last found to have grown, and how many bytes the parser had got then. */
	#bodyLength = 0;
	#lengthAtBody = 0;
	/** How many lines the parser got since then. */
	#linesAfterBody = 0;
	readonly #slice = new SliceSize(sliceBounds);
	#isInTurn = false;
	#isWaiting = false;

	/**
	 * @param socket - The socket, whose only reader is the parser.
	 * @param options - Whom to tell what.
	 */
	constructor(socket: Socket, options: MeteredSocketOptions) {
		this.#socket = socket;
		this.#options = options;
		this.#schedule = options.schedule ?? processReadSchedule;
		this.#readFromSocket = socket.read.bind(socket);
		// The socket itself reads nothing to receive more or to notice its end.
		socket.read = (size) =>
			size === 0 ? this.#readFromSocket(0) : this.#read();
	}

	/** Starts to count for the next response. */
	startResponse(): void {
		this.#length = 0;
		this.#headLines = 0;
		this.#bodyLength = 0;
		this.#lengthAtBody = 0;
		this.#linesAfterBody = 0;
		this.#slice.reset();
	}

	/**
	 * Reads on after a pause.
	 *
	 * @remarks The parser itself is never paused: undici throws an error that nothing
	 * catches if a connection ends then whose end ends the response.
	 */
	resume(): void {
		this.#waitForTurn();
	}

	#read(): Buffer | null {
		if (this.#isOverLimit() || this.#options.getProgress()?.isPaused === true) {
			return null;
		}

		const available = this.#socket.readableLength;
		if (this.#isInTurn) {
			this.#isInTurn = false;
			return this.#take(Math.min(available, this.#slice.bytes));
		}

		const immediate = this.#getImmediateBytes() - this.#length;
		if (available > 0 && immediate <= 0) {
			this.#waitForTurn();
			return null;
		}

		return this.#take(Math.min(available, immediate));
	}

	#getImmediateBytes(): number {
		const progress = this.#options.getProgress();
		if (progress?.hasHead !== true) {
			return immediateHeadBytes;
		}

		return progress.hasShortLength ? immediateShortBodyBytes : immediateBytes;
	}

	#take(size: number): Buffer | null {
		// Without a size, an empty socket is told to receive more.
		const bytes =
			size > 0 ? this.#readFromSocket(size) : this.#readFromSocket();
		if (bytes !== null) {
			this.#length += bytes.length;
			const lineCount = countLines(bytes);
			this.#linesAfterBody += lineCount;
			if (this.#options.getProgress()?.hasHead !== true) {
				this.#headLines += lineCount;
			}
		}

		return bytes;
	}

	#waitForTurn(): void {
		if (!this.#isWaiting) {
			this.#isWaiting = true;
			this.#schedule.add(this.#readInTurn);
		}
	}

	readonly #readInTurn = (): void => {
		this.#isWaiting = false;
		if (this.#socket.destroyed) {
			return;
		}

		const {clock} = this.#schedule;
		const startedAtMs = clock.monotonicMs();
		this.#isInTurn = true;
		// The parser reads again on this event, unless it is paused; then it reads when it is resumed.
		this.#socket.emit('readable');
		this.#isInTurn = false;
		this.#slice.adapt(clock.monotonicMs() - startedAtMs);
	};

	/** Destroys the socket if what it brings is no useful response. */
	#isOverLimit(): boolean {
		const bytes = this.#getExcessBytes();
		if (bytes === undefined) {
			return false;
		}

		if (!this.#socket.destroyed) {
			const flood = {kind: this.#getKind(), bytes};
			this.#options.onFlood(flood);
			this.#socket.destroy(new ResponseFloodError(flood));
		}

		return true;
	}

	/** Gets how many useless bytes were read; undefined if they are within the limits. */
	#getExcessBytes(): number | undefined {
		const {bodyLength = 0, hasHead = false} = this.#options.getProgress() ?? {};
		if (!hasHead) {
			const isWithin =
				this.#length <= maxHeadBytes && this.#headLines <= maxHeadLines;
			return isWithin ? undefined : this.#length;
		}

		if (bodyLength !== this.#bodyLength || this.#lengthAtBody === 0) {
			this.#bodyLength = bodyLength;
			this.#lengthAtBody = this.#length;
			this.#linesAfterBody = 0;
		}

		const overhead = this.#length - bodyLength;
		const allowance =
			bodyLength +
			Math.min(maxSmallChunkOverheadBytes, bodyLength * overheadPerBodyByte);
		const isWithin =
			this.#length - this.#lengthAtBody <= maxFramingGapBytes &&
			this.#linesAfterBody <= maxFramingGapLines &&
			overhead <= maxOverheadBytes + allowance;
		return isWithin ? undefined : overhead;
	}

	#getKind(): ResponseFloodKind {
		const progress = this.#options.getProgress();
		if (progress === undefined || progress.hasEnded) {
			return 'unsolicited bytes';
		}

		if (progress.hasHead) {
			return 'framing';
		}

		return progress.informationalCount > 0 ? 'informational responses' : 'head';
	}
}

function countLines(bytes: Buffer): number {
	let count = 0;
	let index = bytes.indexOf(lineFeed);
	while (index !== -1) {
		count++;
		index = bytes.indexOf(lineFeed, index + 1);
	}

	return count;
}

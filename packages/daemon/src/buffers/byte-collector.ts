/** Collects pieces of a body, so that small ones cost little more than their bytes. */

import {Buffer} from 'node:buffer';

/** The smallest and the largest block that small pieces are copied into, in bytes. */
const minBlockBytes = 1024;
const maxBlockBytes = 65_536;
/** A piece is kept as it is if it is at least this share of the buffer that it was cut from. */
const minKeptShare = 0.25;
/** Approximate size of a `Buffer` object without its bytes. */
const objectBytes = 128;

/** Collects pieces in order. */
export class ByteCollector {
	#parts: Buffer[] = [];
	/** The block that is being filled, with its used length; the last part once it is full. */
	#block: Buffer | undefined;
	#blockLength = 0;
	#length = 0;
	#cost = 0;

	/** The number of bytes collected. */
	get length(): number {
		return this.#length;
	}

	/** The memory that the collected bytes hold, in bytes. */
	get cost(): number {
		return this.#cost;
	}

	/**
	 * Adds a piece.
	 *
	 * @param piece - The piece; it may be a part of a larger buffer.
	 */
	add(piece: Buffer): void {
		this.#length += piece.length;
		if (isWorthKeeping(piece)) {
			this.#sealBlock();
			this.#parts.push(piece);
			this.#cost += piece.buffer.byteLength + objectBytes;
			return;
		}

		let copied = 0;
		while (copied < piece.length) {
			const block = this.#getBlock();
			const count = piece.copy(block, this.#blockLength, copied);
			this.#blockLength += count;
			copied += count;
		}
	}

	/**
	 * Takes what was collected and starts anew.
	 *
	 * @returns All bytes in order.
	 */
	take(): Buffer {
		const length = this.#length;
		const parts = this.takeParts();
		return parts.length === 1 ? parts[0]! : Buffer.concat(parts, length);
	}

	/**
	 * Takes what was collected without a copy and starts anew.
	 *
	 * @returns The parts in order, with all bytes together.
	 */
	takeParts(): readonly Buffer[] {
		this.#sealBlock();
		const parts = this.#parts;
		this.#parts = [];
		this.#length = 0;
		this.#cost = 0;
		return parts;
	}

	#getBlock(): Buffer {
		if (this.#block !== undefined && this.#blockLength < this.#block.length) {
			return this.#block;
		}

		this.#sealBlock();
		const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#length));
		this.#block = Buffer.allocUnsafeSlow(size);
		this.#cost += size + objectBytes;
		return this.#block;
	}

	#sealBlock(): void {
		if (this.#block !== undefined) {
			this.#parts.push(this.#block.subarray(0, this.#blockLength));
			this.#block = undefined;
			this.#blockLength = 0;
		}
	}
}

/** Checks whether a piece holds little more than its own bytes, together with the buffer that it was cut from. */
function isWorthKeeping(piece: Buffer): boolean {
	return (
		piece.length >= minBlockBytes * minKeptShare &&
		piece.length >= piece.buffer.byteLength * minKeptShare
	);
}

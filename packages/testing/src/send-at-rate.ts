/** Sends bytes like a server behind a narrow link. */

import {Buffer} from 'node:buffer';
import type {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';

const piecesPerSecond = 50;
const millisecondsPerSecond = 1000;

/**
 * Writes a text to a stream at a rate and ends the stream.
 *
 * @param stream - The stream; what is left is not written once it is destroyed.
 * @param text - The text.
 * @param bytesPerSecond - The rate.
 */
export async function sendAtRate(
	stream: Writable,
	text: string,
	bytesPerSecond: number,
): Promise<void> {
	const bytes = Buffer.from(text);
	const pieceBytes = Math.ceil(bytesPerSecond / piecesPerSecond);
	const startedAtMs = performance.now();
	for (let start = 0; start < bytes.length; start += pieceBytes) {
		const dueMs =
			startedAtMs + (start / bytesPerSecond) * millisecondsPerSecond;
		await sleep(Math.max(0, dueMs - performance.now()));
		if (stream.destroyed) {
			return;
		}

		stream.write(bytes.subarray(start, start + pieceBytes));
	}

	stream.end();
}

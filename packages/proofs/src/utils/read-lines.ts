/** Reads files of JSON lines. */

import fs from 'node:fs';

/**
 * Reads a file of JSON lines; lines that are not JSON are left out.
 *
 * @param file - The file.
 * @returns The values in order.
 */
export function readLines(file: string): unknown[] {
	return fs
		.readFileSync(file, 'utf8')
		.split('\n')
		.flatMap((line) => parseLine(line));
}

function parseLine(line: string): unknown[] {
	try {
		return [JSON.parse(line)];
	} catch {
		return [];
	}
}

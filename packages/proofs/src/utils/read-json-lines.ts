/** Reads JSON Lines files. */

import fs from 'node:fs';

/**
 * Reads a JSON Lines file and skips lines that aren't valid JSON.
 *
 * @param file - The path of the file.
 * @returns The parsed values, in order.
 */
export function readJsonLines(file: string): unknown[] {
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

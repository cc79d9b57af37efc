/** The golden files of this package. */

import fs from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const folder = path.join(
	path.dirname(fileURLToPath(import.meta.url)),
	'../../golden',
);

/**
 * Reads the golden file of a session.
 *
 * @param name - The name of the session.
 * @returns Its lines.
 */
export function readGoldenFile(name: string): string[] {
	const text = fs.readFileSync(getFile(name), 'utf8');
	return text.split('\n').filter((line) => line !== '');
}

/**
 * Writes the golden file of a session.
 *
 * @param name - The name of the session.
 * @param lines - Its lines.
 */
export function writeGoldenFile(name: string, lines: readonly string[]): void {
	fs.mkdirSync(folder, {recursive: true});
	fs.writeFileSync(getFile(name), lines.map((line) => `${line}\n`).join(''));
}

function getFile(name: string): string {
	return path.join(folder, `${name}.jsonl`);
}

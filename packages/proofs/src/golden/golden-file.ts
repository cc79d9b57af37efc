/** Reads and writes the golden files of the recorded sessions. */

import fs from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const goldenFolder = path.join(
	path.dirname(fileURLToPath(import.meta.url)),
	'../../golden',
);

/**
 * Reads the golden file of a session.
 *
 * @param name - The name of the session.
 * @returns The lines of the file, one per exchange.
 */
export function readGoldenFile(name: string): string[] {
	const text = fs.readFileSync(getFile(name), 'utf8');
	return text.split('\n').filter((line) => line !== '');
}

/**
 * Writes the golden file of a session.
 *
 * @param name - The name of the session.
 * @param lines - The lines to write, one per exchange.
 */
export function writeGoldenFile(name: string, lines: readonly string[]): void {
	fs.mkdirSync(goldenFolder, {recursive: true});
	fs.writeFileSync(getFile(name), lines.map((line) => `${line}\n`).join(''));
}

function getFile(name: string): string {
	return path.join(goldenFolder, `${name}.jsonl`);
}

/** Reads KNOWN-RED.txt, which names the tests that fail for a known fault. */

import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const fileName = 'KNOWN-RED.txt';
const testPrefix = 'test: ';

/** The full names of the tests that are known to fail. */
export const knownRedNames: ReadonlySet<string> = readNames();

/**
 * Tells whether a test is known to fail.
 *
 * @param fullName - The names of the groups and the test, joined by ` > `.
 * @returns True if KNOWN-RED.txt has an entry for it.
 */
export function isKnownRed(fullName: string): boolean {
	return knownRedNames.has(fullName);
}

function readNames(): Set<string> {
	const file = findFile(process.cwd());
	const text = file === undefined ? '' : fs.readFileSync(file, 'utf8');
	const names = text
		.split('\n')
		.filter((line) => line.startsWith(testPrefix))
		.map((line) => line.slice(testPrefix.length).trim());
	return new Set(names);
}

function findFile(folder: string): string | undefined {
	const candidate = path.join(folder, fileName);
	if (fs.existsSync(candidate)) {
		return candidate;
	}

	const parent = path.dirname(folder);
	return parent === folder ? undefined : findFile(parent);
}

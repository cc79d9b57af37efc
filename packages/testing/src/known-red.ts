/** Reads KNOWN-RED.txt, which lists the tests that fail because of a known fault. */

import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const knownRedFileName = 'KNOWN-RED.txt';
const testPrefix = 'test: ';

/** The full names of the tests that are known to fail. */
export const knownRedNames: ReadonlySet<string> = readKnownRedNames();

/**
 * Tells whether a test is known to fail.
 *
 * @param fullName - The names of the enclosing groups and of the test, joined by ` > `.
 * @returns True if KNOWN-RED.txt lists the test.
 */
export function isKnownRed(fullName: string): boolean {
	return knownRedNames.has(fullName);
}

function readKnownRedNames(): Set<string> {
	const file = findFileUpwards(process.cwd());
	const text = file === undefined ? '' : fs.readFileSync(file, 'utf8');
	const names = text
		.split('\n')
		.filter((line) => line.startsWith(testPrefix))
		.map((line) => line.slice(testPrefix.length).trim());
	return new Set(names);
}

/** Searches a folder and its parents for KNOWN-RED.txt. */
function findFileUpwards(folder: string): string | undefined {
	const candidate = path.join(folder, knownRedFileName);
	if (fs.existsSync(candidate)) {
		return candidate;
	}

	const parent = path.dirname(folder);
	return parent === folder ? undefined : findFileUpwards(parent);
}

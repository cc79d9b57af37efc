/** Runs the tool in-process with captured output and fake hosts. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {systemClock} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	runCommandLine,
	type HostFetcher,
	type HostRequest,
	type SnapshotFetcher,
} from '../src/index.js';

/** The output and the exit code of a run. */
export type ToolRun = {
	readonly code: number;
	readonly out: string;
	readonly errors: string;
};

/** Responds to requests in place of the hosts. */
export type FakeFleet = (request: HostRequest) => Result<unknown, string>;

const silentFleet: FakeFleet = () => Err('no response');

/**
 * Runs the tool.
 *
 * @param args - The arguments after the name of the program.
 * @param fleet - The fake hosts; without it no host responds.
 * @param fetchSnapshot - Reads from a gateway host; without it no host responds.
 * @returns The output and the exit code.
 */
export async function runTool(
	args: readonly string[],
	fleet: FakeFleet = silentFleet,
	fetchSnapshot: SnapshotFetcher = async () => Err('no response'),
): Promise<ToolRun> {
	const out: string[] = [];
	const errors: string[] = [];
	const fetchFromHost: HostFetcher = async (request) => fleet(request);
	const code = await runCommandLine(['node', 'bilberryscale', ...args], {
		output: {
			print: (line) => out.push(line),
			printError: (line) => errors.push(line),
		},
		fetchFromHost,
		fetchSnapshot,
		clock: {
			...systemClock,
			// Runs scheduled actions at once, so that polling does not wait.
			schedule(_delayMs, action) {
				action();
				return () => undefined;
			},
		},
		getEnvironmentVariable: () => 'token',
	});
	return {code, out: out.join('\n'), errors: errors.join('\n')};
}

/** A temporary folder for the files of one test file. */
export class TestFolder {
	readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cli-test-'));

	/**
	 * Gets the path of a file in the folder.
	 *
	 * @param name - The name of the file.
	 * @returns The path.
	 */
	getPath(name: string): string {
		return path.join(this.#folder, name);
	}

	/**
	 * Writes a file.
	 *
	 * @param name - The name of the file.
	 * @param text - The content.
	 * @returns The path.
	 */
	write(name: string, text: string): string {
		const file = this.getPath(name);
		fs.writeFileSync(file, text);
		return file;
	}
}

/**
 * Reads an example from the documentation.
 *
 * @param name - The file name.
 * @returns The content.
 */
export function readExample(name: string): string {
	const url = new URL(`../../../docs/examples/${name}`, import.meta.url);
	return fs.readFileSync(url, 'utf8');
}

/**
 * Makes hosts with fixed responses.
 *
 * @param responses - The responses by host address.
 * @returns The fake hosts; other addresses do not respond.
 */
export function makeFakeFleet(
	responses: ReadonlyMap<string, unknown>,
): FakeFleet {
	return ({host}) =>
		responses.has(host) ? Ok(responses.get(host)) : Err('no response');
}

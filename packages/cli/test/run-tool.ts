/** Runs the tool with captured output and hosts in memory. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {systemClock} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	runCommandLine,
	type HostFetcher,
	type HostRequest,
} from '../src/index.js';

/** What a run printed and gave back. */
export type ToolRun = {
	readonly code: number;
	readonly out: string;
	readonly errors: string;
};

/** Answers the questions to hosts. */
export type FakeFleet = (request: HostRequest) => Result<unknown, string>;

const silentFleet: FakeFleet = () => Err('does not answer');

/**
 * Runs the tool.
 *
 * @param args - The command line without the program.
 * @param hosts - Answers for the hosts.
 * @returns What it printed and its exit code.
 */
export async function runTool(
	args: readonly string[],
	hosts: FakeFleet = silentFleet,
): Promise<ToolRun> {
	const out: string[] = [];
	const errors: string[] = [];
	const query: HostFetcher = async (question) => hosts(question);
	const code = await runCommandLine(['node', 'bilberryscale', ...args], {
		output: {
			print: (line) => out.push(line),
			printError: (line) => errors.push(line),
		},
		fetchFromHost: query,
		clock: {
			...systemClock,
			schedule(_delayMs, action) {
				action();
				return () => undefined;
			},
		},
		getEnvironmentVariable: () => 'token',
	});
	return {code, out: out.join('\n'), errors: errors.join('\n')};
}

/** A folder of its own for one test file. */
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
	 * @param text - Its text.
	 * @returns The path.
	 */
	write(name: string, text: string): string {
		const file = this.getPath(name);
		fs.writeFileSync(file, text);
		return file;
	}
}

/**
 * Reads a committed example.
 *
 * @param name - The name of its file.
 * @returns The text.
 */
export function readExample(name: string): string {
	const url = new URL(`../../../docs/examples/${name}`, import.meta.url);
	return fs.readFileSync(url, 'utf8');
}

/**
 * Gives answers by the address of the host.
 *
 * @param responses - The answers.
 * @returns The hosts; others do not answer.
 */
export function makeFakeFleet(responses: ReadonlyMap<string, unknown>): FakeFleet {
	return ({host}) =>
		responses.has(host) ? Ok(responses.get(host)) : Err('does not answer');
}

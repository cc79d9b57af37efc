/** Runs the tool with captured output and hosts in memory. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {systemClock} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	runCommandLine,
	type HostQuery,
	type HostQuestion,
} from '../src/index.js';

/** What a run printed and gave back. */
export type ToolRun = {
	readonly code: number;
	readonly out: string;
	readonly errors: string;
};

/** Answers the questions to hosts. */
export type FakeHosts = (question: HostQuestion) => Result<unknown, string>;

const noHosts: FakeHosts = () => Err('does not answer');

/**
 * Runs the tool.
 *
 * @param words - The command line without the program.
 * @param hosts - Answers for the hosts.
 * @returns What it printed and its exit code.
 */
export async function runTool(
	words: readonly string[],
	hosts: FakeHosts = noHosts,
): Promise<ToolRun> {
	const out: string[] = [];
	const errors: string[] = [];
	const query: HostQuery = async (question) => hosts(question);
	const code = await runCommandLine(['node', 'bilberryscale', ...words], {
		output: {
			print: (line) => out.push(line),
			printError: (line) => errors.push(line),
		},
		query,
		clock: {
			...systemClock,
			schedule(_delayMs, action) {
				action();
				return () => undefined;
			},
		},
		getVariable: () => 'token',
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
 * @param answers - The answers.
 * @returns The hosts; others do not answer.
 */
export function makeHosts(answers: ReadonlyMap<string, unknown>): FakeHosts {
	return ({host}) =>
		answers.has(host) ? Ok(answers.get(host)) : Err('does not answer');
}

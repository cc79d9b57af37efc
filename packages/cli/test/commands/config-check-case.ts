/** Runs `config check` on the inputs of a golden case. */

import fs from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {PublishedChanges} from '@bilberryscale/gateway';
import {Ok} from 'ts-results-es';
import {runTool} from '../run-tool.js';

/** The address of the host in cases that have a snapshot. */
const hostAddress = '10.1.0.15:8649';
const goldenFolder = fileURLToPath(
	new URL('../golden/config-check', import.meta.url),
);

/** The outputs of a case by the name of their file. */
export type CaseOutputs = ReadonlyMap<string, string>;

/**
 * Lists the golden cases.
 *
 * @returns Their names, which are the names of their folders.
 */
export function getCaseNames(): readonly string[] {
	return fs.readdirSync(goldenFolder).toSorted();
}

/**
 * Gets the path of a file of a case.
 *
 * @param name - The name of the case.
 * @param file - The name of the file.
 * @returns The path; the file may not exist.
 */
export function getCasePath(name: string, file: string): string {
	return path.join(goldenFolder, name, file);
}

/**
 * Reads a file of a case.
 *
 * @param name - The name of the case.
 * @param file - The name of the file.
 * @returns The content; undefined if the case has no such file.
 */
export function readCaseFile(name: string, file: string): string | undefined {
	const filePath = getCasePath(name, file);
	return fs.existsSync(filePath)
		? fs.readFileSync(filePath, 'utf8')
		: undefined;
}

/**
 * Runs the command of a case, for people and with `--json`.
 *
 * @param name - The name of the case.
 * @returns The outputs, without the path of the folder; the text ends with the exit code.
 */
export async function runCase(name: string): Promise<CaseOutputs> {
	const snapshot = readCaseFile(name, 'snapshot.json');
	const args = [
		'config',
		'check',
		getCasePath(name, 'next.json'),
		...(readCaseFile(name, 'current.json') === undefined
			? []
			: ['--against', getCasePath(name, 'current.json')]),
		...(snapshot === undefined ? [] : ['--host', hostAddress]),
		...(readCaseFile(name, 'args.txt')?.trim().split(' ') ?? []),
	];
	const fetchSnapshot = async () =>
		Ok(JSON.parse(snapshot ?? '{}') as PublishedChanges);
	const textRun = await runTool(args, undefined, fetchSnapshot);
	const jsonRun = await runTool([...args, '--json'], undefined, fetchSnapshot);
	const removeFolder = (text: string) =>
		text
			.replaceAll(getCasePath(name, '') + path.sep, '')
			.replaceAll(getCasePath(name, ''), '');
	const document: unknown = JSON.parse(removeFolder(jsonRun.out));
	return new Map([
		[
			'output.txt',
			`${removeFolder(textRun.out)}${textRun.errors}\n\nexit code ${textRun.code}\n`,
		],
		['output.json', `${JSON.stringify(document, undefined, '\t')}\n`],
	]);
}

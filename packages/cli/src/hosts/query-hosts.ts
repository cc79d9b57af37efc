/** Asks many hosts at once and keeps apart what they answered. */

import {describeIssues} from '@bilberryscale/bundle';
import type {z} from 'zod';
import type {Option, Surroundings} from '../commands/command.js';
import type {Flags} from '../commands/flags.js';
import {readTextOrThrow} from '../files/read-text-file.js';
import {UsageError} from '../output/usage-error.js';

/** Whom to ask and with which token. */
export type HostSelection = {
	readonly hosts: readonly string[];
	readonly token: string;
};

/** What a host answered. */
export type HostAnswer<Value> = {
	readonly host: string;
	readonly value: Value;
};

/** What all hosts answered. */
export type HostAnswers<Value> = {
	readonly answers: ReadonlyArray<HostAnswer<Value>>;
	/** One message for each host without a usable answer. */
	readonly faults: readonly string[];
};

const tokenVariable = 'BILBERRYSCALE_TOKEN';
const tokenPattern = /^[\u0021-\u007E]+$/v;
const hostPattern = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/iv;

/** The flags that select hosts. */
export const hostOptions: readonly Option[] = [
	{
		usage: '--host <address:port>',
		summary: "A host's operators' port; may stand more than once",
	},
	{
		usage: '--hosts-file <file>',
		summary: 'A file with one address:port on each line',
	},
	{
		usage: '--token-file <file>',
		summary: `The operators' token (default: the variable ${tokenVariable})`,
	},
];

/**
 * Reads which hosts to ask.
 *
 * @param flags - The flags.
 * @param surroundings - Gives the environment.
 * @returns The hosts and the token.
 * @throws UsageError if no host or no token is given.
 */
export function readSelectionOrThrow(
	flags: Flags,
	{getVariable}: Surroundings,
): HostSelection {
	const file = flags.getText('hostsFile');
	const listed = file === undefined ? [] : readHosts(readTextOrThrow(file));
	const hosts = [...new Set([...flags.getTexts('host'), ...listed])];
	if (hosts.length === 0) {
		throw new UsageError('--host or --hosts-file: is missing');
	}

	const stray = hosts.find((host) => !hostPattern.test(host));
	if (stray !== undefined) {
		throw new UsageError(
			`--host: must be an IP number and a port, such as 10.0.0.1:8081; seen: ${stray}`,
		);
	}

	const tokenFile = flags.getText('tokenFile');
	const token =
		tokenFile === undefined
			? getVariable(tokenVariable)
			: readTextOrThrow(tokenFile).trim();
	if (token === undefined || token === '') {
		throw new UsageError(`--token-file or ${tokenVariable}: is missing`);
	}

	if (!tokenPattern.test(token)) {
		throw new UsageError(
			`${tokenFile ?? tokenVariable}: holds no token; it must be one word of printable characters`,
		);
	}

	return {hosts, token};
}

/**
 * Asks hosts at once.
 *
 * @param selection - The hosts and the token.
 * @param getPath - Gets the path to ask of a host.
 * @param schema - The shape of the answer.
 * @param surroundings - Asks each host.
 * @returns What they answered.
 */
export async function askHosts<Value>(
	selection: HostSelection,
	getPath: (host: string) => string,
	schema: z.ZodType<Value>,
	{query}: Surroundings,
): Promise<HostAnswers<Value>> {
	const faults: string[] = [];
	const answers = await Promise.all(
		selection.hosts.map(async (host) => {
			const path = getPath(host);
			const answer = await query({host, path, token: selection.token});
			if (answer.isErr()) {
				faults.push(`${host}: ${answer.error}`);
				return [];
			}

			const checked = schema.safeParse(answer.value);
			if (checked.success) {
				return [{host, value: checked.data}];
			}

			faults.push(...describeIssues(host, checked.error, answer.value));
			return [];
		}),
	);
	return {answers: answers.flat(), faults};
}

function readHosts(text: string): readonly string[] {
	return text
		.split('\n')
		.map((line) => line.trim())
		.filter((line) => line !== '' && !line.startsWith('#'));
}

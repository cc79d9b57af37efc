/** Asks many hosts at once and keeps apart what they answered. */

import {describeIssues} from '@bilberryscale/bundle';
import type {z} from 'zod';
import type {CommandOption, CommandContext} from '../commands/command.js';
import type {Flags} from '../commands/flags.js';
import {readTextFileOrThrow} from '../files/read-text-file.js';
import {UsageError} from '../output/usage-error.js';

/** Whom to ask and with which token. */
export type HostSelection = {
	readonly hosts: readonly string[];
	readonly token: string;
};

/** What a host answered. */
export type HostResponse<Value> = {
	readonly host: string;
	readonly value: Value;
};

/** What all hosts answered. */
export type HostResponses<Value> = {
	readonly responses: ReadonlyArray<HostResponse<Value>>;
	/** One message for each host without a usable answer. */
	readonly faults: readonly string[];
};

const tokenVariable = 'BILBERRYSCALE_TOKEN';
const tokenPattern = /^[\u0021-\u007E]+$/v;
const hostAddressPattern = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/iv;

/** The flags that select hosts. */
export const hostOptions: readonly CommandOption[] = [
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
export function readHostSelectionOrThrow(
	flags: Flags,
	{getEnvironmentVariable: getVariable}: CommandContext,
): HostSelection {
	const file = flags.getString('hostsFile');
	const fileHosts = file === undefined ? [] : parseHostList(readTextFileOrThrow(file));
	const hosts = [...new Set([...flags.getStrings('host'), ...fileHosts])];
	if (hosts.length === 0) {
		throw new UsageError('--host or --hosts-file: is missing');
	}

	const malformedHost = hosts.find((host) => !hostAddressPattern.test(host));
	if (malformedHost !== undefined) {
		throw new UsageError(
			`--host: must be an IP number and a port, such as 10.0.0.1:8081; seen: ${malformedHost}`,
		);
	}

	const tokenFile = flags.getString('tokenFile');
	const token =
		tokenFile === undefined
			? getVariable(tokenVariable)
			: readTextFileOrThrow(tokenFile).trim();
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
export async function queryHosts<Value>(
	selection: HostSelection,
	getPath: (host: string) => string,
	schema: z.ZodType<Value>,
	{fetchFromHost: query}: CommandContext,
): Promise<HostResponses<Value>> {
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
	return {responses: answers.flat(), faults};
}

function parseHostList(text: string): readonly string[] {
	return text
		.split('\n')
		.map((line) => line.trim())
		.filter((line) => line !== '' && !line.startsWith('#'));
}

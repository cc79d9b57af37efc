/** Sends the same kind of request to many hosts and collects their responses. */

import {describeIssues} from '@bilberryscale/bundle';
import type {z} from 'zod';
import type {CommandOption, CommandContext} from '../commands/command.js';
import type {Flags} from '../commands/flags.js';
import {readTextFileOrThrow} from '../files/read-text-file.js';
import {UsageError} from '../output/usage-error.js';
import {isHostAddress} from './host-address.js';

/** The hosts to query and the token to authenticate with. */
export type HostSelection = {
	readonly hosts: readonly string[];
	readonly token: string;
};

/** The response of one host. */
export type HostResponse<Value> = {
	/** The IP address and the operator port, as `address:port`. */
	readonly host: string;
	readonly value: Value;
};

/** The responses of all hosts. */
export type HostResponses<Value> = {
	readonly responses: ReadonlyArray<HostResponse<Value>>;
	/** The errors of the hosts without a usable response. */
	readonly faults: readonly string[];
};

const tokenVariable = 'BILBERRYSCALE_TOKEN';
const tokenPattern = /^[\u0021-\u007E]+$/v;

/** The flags that select hosts. */
export const hostOptions: readonly CommandOption[] = [
	{
		usage: '--host <address:port>',
		summary: 'The operator port of a host; can be repeated',
	},
	{
		usage: '--hosts-file <file>',
		summary: 'A file with one address:port per line',
	},
	{
		usage: '--token-file <file>',
		summary: `A file with the operator token (default: environment variable ${tokenVariable})`,
	},
];

/**
 * Reads the hosts to query and the token from the flags and the environment.
 *
 * @param flags - The flags.
 * @param context - Provides the environment variables.
 * @returns The hosts and the token.
 * @throws UsageError if no host or no token is given, or one of them is malformed.
 */
export function readHostSelectionOrThrow(
	flags: Flags,
	{getEnvironmentVariable}: CommandContext,
): HostSelection {
	const file = flags.getString('hostsFile');
	const fileHosts =
		file === undefined ? [] : parseHostList(readTextFileOrThrow(file));
	const hosts = [...new Set([...flags.getStrings('host'), ...fileHosts])];
	if (hosts.length === 0) {
		throw new UsageError('--host or --hosts-file is required');
	}

	const malformedHost = hosts.find((host) => !isHostAddress(host));
	if (malformedHost !== undefined) {
		throw new UsageError(
			`--host: must be an IP address and a port, such as 10.0.0.1:8081; seen: ${malformedHost}`,
		);
	}

	const tokenFile = flags.getString('tokenFile');
	const token =
		tokenFile === undefined
			? getEnvironmentVariable(tokenVariable)
			: readTextFileOrThrow(tokenFile).trim();
	if (token === undefined || token === '') {
		throw new UsageError(`--token-file or ${tokenVariable} is required`);
	}

	if (!tokenPattern.test(token)) {
		throw new UsageError(
			`${tokenFile ?? tokenVariable}: is not a valid token; it must consist of printable ASCII characters without spaces`,
		);
	}

	return {hosts, token};
}

/**
 * Queries all selected hosts in parallel.
 *
 * @param selection - The hosts and the token.
 * @param getPath - Gets the path to request from a host.
 * @param schema - The schema of the response.
 * @param context - Sends the requests.
 * @returns The valid responses, and the errors of the other hosts.
 */
export async function queryHosts<Value>(
	selection: HostSelection,
	getPath: (host: string) => string,
	schema: z.ZodType<Value>,
	{fetchFromHost}: CommandContext,
): Promise<HostResponses<Value>> {
	const faults: string[] = [];
	const responses = await Promise.all(
		selection.hosts.map(async (host) => {
			const path = getPath(host);
			const response = await fetchFromHost({
				host,
				path,
				token: selection.token,
			});
			if (response.isErr()) {
				faults.push(`${host}: ${response.error}`);
				return [];
			}

			const parsed = schema.safeParse(response.value);
			if (parsed.success) {
				return [{host, value: parsed.data}];
			}

			faults.push(...describeIssues(host, parsed.error, response.value));
			return [];
		}),
	);
	return {responses: responses.flat(), faults};
}

function parseHostList(text: string): readonly string[] {
	return text
		.split('\n')
		.map((line) => line.trim())
		.filter((line) => line !== '' && !line.startsWith('#'));
}

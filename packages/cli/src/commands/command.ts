/** What a command of the tool is made of. */

import type {Clock} from '@bilberryscale/core';
import type {HostFetcher} from '../hosts/host-fetcher.js';
import type {ExitCode} from '../output/exit-codes.js';
import type {Output} from '../output/output.js';
import type {Flags} from './flags.js';

/** A flag and its help. */
export type CommandOption = {
	readonly usage: string;
	readonly summary: string;
};

/** What commands work with. */
export type CommandContext = {
	readonly output: Output;
	readonly fetchFromHost: HostFetcher;
	readonly clock: Clock;
	/** Gets a variable of the environment. */
	readonly getEnvironmentVariable: (name: string) => string | undefined;
};

/** One command. */
export type Command = {
	/** The words and the arguments. */
	readonly usage: string;
	readonly summary: string;
	readonly options: readonly CommandOption[];
	readonly examples: readonly string[];
	/**
	 * Runs the command.
	 *
	 * @param values - The arguments in their order.
	 * @param flags - The flags.
	 * @param surroundings - What it works with.
	 * @returns The exit code.
	 * @throws UsageError if the command line or a file cannot be used.
	 */
	readonly run: (
		values: readonly string[],
		flags: Flags,
		surroundings: CommandContext,
	) => ExitCode | Promise<ExitCode>;
};

/** The flag that every command which prints has. */
export const jsonOption: CommandOption = {
	usage: '--json',
	summary: 'Print one JSON document',
};

/** What a command of the tool is made of. */

import type {Clock} from '@bilberryscale/core';
import type {HostQuery} from '../hosts/host-fetcher.js';
import type {ExitCode} from '../output/exit-codes.js';
import type {Output} from '../output/output.js';
import type {Flags} from './flags.js';

/** A flag and its help. */
export type Option = {
	readonly usage: string;
	readonly summary: string;
};

/** What commands work with. */
export type Surroundings = {
	readonly output: Output;
	readonly query: HostQuery;
	readonly clock: Clock;
	/** Gets a variable of the environment. */
	readonly getVariable: (name: string) => string | undefined;
};

/** One command. */
export type Command = {
	/** The words and the arguments. */
	readonly usage: string;
	readonly summary: string;
	readonly options: readonly Option[];
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
		surroundings: Surroundings,
	) => ExitCode | Promise<ExitCode>;
};

/** The flag that every command which prints has. */
export const jsonOption: Option = {
	usage: '--json',
	summary: 'Print one JSON document',
};

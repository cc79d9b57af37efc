/** The definition of a command. */

import type {Clock} from '@bilberryscale/core';
import type {HostFetcher} from '../hosts/host-fetcher.js';
import type {SnapshotFetcher} from '../hosts/snapshot-fetcher.js';
import type {ExitCode} from '../output/exit-codes.js';
import type {Output} from '../output/output.js';
import type {Flags} from './flags.js';

/** A flag and its help text. */
export type CommandOption = {
	readonly usage: string;
	readonly summary: string;
};

/** The dependencies of the commands. */
export type CommandContext = {
	readonly output: Output;
	readonly fetchFromHost: HostFetcher;
	/** Reads what the platform has published from a gateway host. */
	readonly fetchSnapshot: SnapshotFetcher;
	readonly clock: Clock;
	/** Gets an environment variable. */
	readonly getEnvironmentVariable: (name: string) => string | undefined;
};

/** A command of the tool. */
export type Command = {
	/** The command's name and its positional arguments, in the syntax of cac. */
	readonly usage: string;
	readonly summary: string;
	readonly options: readonly CommandOption[];
	readonly examples: readonly string[];
	/**
	 * Runs the command.
	 *
	 * @param args - The positional arguments in order.
	 * @param flags - The flags.
	 * @param context - The dependencies.
	 * @returns The exit code.
	 * @throws UsageError if the command line or a file is invalid.
	 */
	readonly run: (
		args: readonly string[],
		flags: Flags,
		context: CommandContext,
	) => ExitCode | Promise<ExitCode>;
};

/** The flag for JSON output, shared by all commands that print a report. */
export const jsonOption: CommandOption = {
	usage: '--json',
	summary: 'Print one JSON document',
};

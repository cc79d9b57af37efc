/** The operators' tool. */

export {runCommandLine} from './command-line.js';
export {allCommands} from './commands/all-commands.js';
export type {Command, Option, Surroundings} from './commands/command.js';
export {
	makeHostQuery,
	type HostQuery,
	type HostQuestion,
} from './hosts/host-fetcher.js';
export {exitCodes, type ExitCode} from './output/exit-codes.js';
export type {Output} from './output/output.js';

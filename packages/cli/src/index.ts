/** The command-line tool for operators. */

export {runCommandLine} from './command-line.js';
export {allCommands} from './commands/all-commands.js';
export type {
	Command,
	CommandOption,
	CommandContext,
} from './commands/command.js';
export {
	makeHostFetcher,
	type HostFetcher,
	type HostRequest,
} from './hosts/host-fetcher.js';
export {
	makeSnapshotFetcher,
	type SnapshotFetcher,
} from './hosts/snapshot-fetcher.js';
export {exitCodes, type ExitCode} from './output/exit-codes.js';
export type {Output} from './output/output.js';

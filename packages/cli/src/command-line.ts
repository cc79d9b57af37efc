/** Matches a command line with a command and runs it. */

import {cac, type CAC} from 'cac';
import {allCommands} from './commands/all-commands.js';
import type {Command, CommandContext} from './commands/command.js';
import {Flags} from './commands/flags.js';
import {exitCodeHelp, exitCodes, type ExitCode} from './output/exit-codes.js';

const programName = 'bilberryscale';
const commandGroups = new Set(['bundle', 'keys', 'settings']);
const firstWordIndex = 2;

/**
 * Runs the tool.
 *
 * @param argv - The arguments, as the process got them.
 * @param surroundings - What the commands work with.
 * @returns The exit code.
 */
export async function runCommandLine(
	argv: readonly string[],
	surroundings: CommandContext,
): Promise<ExitCode> {
	const program = makeCacProgram(surroundings);
	try {
		program.parse(joinGroupAndCommand(argv), {run: false});
		if (program.options.help === true || program.options.version === true) {
			return exitCodes.success;
		}

		if (program.matchedCommand === undefined) {
			surroundings.output.printError(describeUnknownCommand(argv));
			return exitCodes.usageError;
		}

		return (await program.runMatchedCommand()) as ExitCode;
	} catch (error) {
		const {message} = error as Error;
		surroundings.output.printError(`${programName}: ${message}`);
		return exitCodes.usageError;
	}
}

function makeCacProgram(surroundings: CommandContext): CAC {
	const program = cac(programName);
	for (const command of allCommands) {
		addCommand(program, command, surroundings);
	}

	program.help((sections) => [
		...sections,
		{title: 'Exit codes', body: exitCodeHelp},
	]);
	program.version('0.1.0');
	return program;
}

function addCommand(
	program: CAC,
	command: Command,
	surroundings: CommandContext,
): void {
	const cacCommand = program.command(command.usage, command.summary);
	for (const {usage, summary} of command.options) {
		cacCommand.option(usage, summary);
	}

	for (const example of command.examples) {
		cacCommand.example(`  ${programName} ${example}`);
	}

	cacCommand.action(async (...values: unknown[]) => {
		const options = values.at(-1) as Readonly<Record<string, unknown>>;
		const positionals = values.slice(0, -1).map(String);
		return command.run(positionals, new Flags(options), surroundings);
	});
}

function describeUnknownCommand(argv: readonly string[]): string {
	const words = argv.slice(firstWordIndex).filter((word) => !word.startsWith('-'));
	return words.length === 0
		? `${programName}: a command is missing; see ${programName} --help`
		: `${programName}: there is no command "${words.slice(0, 2).join(' ')}"; see ${programName} --help`;
}

/** Joins a group and its command into the one word that the library matches. */
function joinGroupAndCommand(argv: readonly string[]): string[] {
	const group = argv[firstWordIndex];
	const command = argv[firstWordIndex + 1];
	return group !== undefined && command !== undefined && commandGroups.has(group)
		? [
				...argv.slice(0, firstWordIndex),
				`${group} ${command}`,
				...argv.slice(firstWordIndex + 2),
			]
		: [...argv];
}

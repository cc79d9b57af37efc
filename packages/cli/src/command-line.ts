/** Parses the command line and runs the command that it names. */

import {cac, type CAC} from 'cac';
import {allCommands} from './commands/all-commands.js';
import type {Command, CommandContext} from './commands/command.js';
import {Flags} from './commands/flags.js';
import {exitCodeHelp, exitCodes, type ExitCode} from './output/exit-codes.js';

const programName = 'bilberryscale';
const commandGroups = new Set(['bundle', 'config', 'keys', 'settings']);
// `process.argv` starts with the paths of Node and of the script.
const firstWordIndex = 2;

/**
 * Runs the command-line tool.
 *
 * @param argv - The arguments in the form of `process.argv`.
 * @param context - The dependencies of the commands.
 * @returns The exit code.
 */
export async function runCommandLine(
	argv: readonly string[],
	context: CommandContext,
): Promise<ExitCode> {
	const program = makeCacProgram(context);
	try {
		program.parse(joinGroupAndCommand(argv), {run: false});
		if (program.options.help === true || program.options.version === true) {
			return exitCodes.success;
		}

		if (program.matchedCommand === undefined) {
			context.output.printError(describeUnknownCommand(argv));
			return exitCodes.usageError;
		}

		return (await program.runMatchedCommand()) as ExitCode;
	} catch (error) {
		const {message} = error as Error;
		context.output.printError(`${programName}: ${message}`);
		return exitCodes.usageError;
	}
}

function makeCacProgram(context: CommandContext): CAC {
	const program = cac(programName);
	for (const command of allCommands) {
		addCommand(program, command, context);
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
	context: CommandContext,
): void {
	const cacCommand = program.command(command.usage, command.summary);
	for (const {usage, summary} of command.options) {
		cacCommand.option(usage, summary);
	}

	for (const example of command.examples) {
		cacCommand.example(`  ${programName} ${example}`);
	}

	cacCommand.action(async (...actionArgs: unknown[]) => {
		const options = actionArgs.at(-1) as Readonly<Record<string, unknown>>;
		const positionals = actionArgs.slice(0, -1).map(String);
		return command.run(positionals, new Flags(options), context);
	});
}

function describeUnknownCommand(argv: readonly string[]): string {
	const words = argv
		.slice(firstWordIndex)
		.filter((word) => !word.startsWith('-'));
	return words.length === 0
		? `${programName}: missing command; see ${programName} --help`
		: `${programName}: unknown command "${words.slice(0, 2).join(' ')}"; see ${programName} --help`;
}

/** Joins a group and its command into one argument, because cac matches names of a single word. */
function joinGroupAndCommand(argv: readonly string[]): string[] {
	const group = argv[firstWordIndex];
	const command = argv[firstWordIndex + 1];
	return group !== undefined &&
		command !== undefined &&
		commandGroups.has(group)
		? [
				...argv.slice(0, firstWordIndex),
				`${group} ${command}`,
				...argv.slice(firstWordIndex + 2),
			]
		: [...argv];
}

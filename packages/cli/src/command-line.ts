/** Matches a command line with a command and runs it. */

import {cac, type CAC} from 'cac';
import {allCommands} from './commands/all-commands.js';
import type {Command, Surroundings} from './commands/command.js';
import {Flags} from './commands/flags.js';
import {exitCodeHelp, exitCodes, type ExitCode} from './output/exit-codes.js';

const programName = 'bilberryscale';
const groups = new Set(['bundle', 'keys', 'settings']);
const groupIndex = 2;

/**
 * Runs the tool.
 *
 * @param argv - The arguments, as the process got them.
 * @param surroundings - What the commands work with.
 * @returns The exit code.
 */
export async function runCommandLine(
	argv: readonly string[],
	surroundings: Surroundings,
): Promise<ExitCode> {
	const program = makeProgram(surroundings);
	try {
		program.parse(joinGroup(argv), {run: false});
		if (program.options.help === true || program.options.version === true) {
			return exitCodes.success;
		}

		if (program.matchedCommand === undefined) {
			surroundings.output.printError(describeUnknown(argv));
			return exitCodes.usage;
		}

		return (await program.runMatchedCommand()) as ExitCode;
	} catch (error) {
		const {message} = error as Error;
		surroundings.output.printError(`${programName}: ${message}`);
		return exitCodes.usage;
	}
}

function makeProgram(surroundings: Surroundings): CAC {
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
	surroundings: Surroundings,
): void {
	const added = program.command(command.usage, command.summary);
	for (const {usage, summary} of command.options) {
		added.option(usage, summary);
	}

	for (const example of command.examples) {
		added.example(`  ${programName} ${example}`);
	}

	added.action(async (...values: unknown[]) => {
		const options = values.at(-1) as Readonly<Record<string, unknown>>;
		const texts = values.slice(0, -1).map(String);
		return command.run(texts, new Flags(options), surroundings);
	});
}

function describeUnknown(argv: readonly string[]): string {
	const words = argv.slice(groupIndex).filter((word) => !word.startsWith('-'));
	return words.length === 0
		? `${programName}: a command is missing; see ${programName} --help`
		: `${programName}: there is no command "${words.slice(0, 2).join(' ')}"; see ${programName} --help`;
}

/** Joins a group and its command into the one word that the library matches. */
function joinGroup(argv: readonly string[]): string[] {
	const group = argv[groupIndex];
	const command = argv[groupIndex + 1];
	return group !== undefined && command !== undefined && groups.has(group)
		? [
				...argv.slice(0, groupIndex),
				`${group} ${command}`,
				...argv.slice(groupIndex + 2),
			]
		: [...argv];
}

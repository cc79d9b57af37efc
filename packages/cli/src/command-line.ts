/** The commands of the operators' tool. */

import {cac, type CAC} from 'cac';
import {checkBundle} from './commands/bundle-check.js';
import {signBundle, type BundleSignFlags} from './commands/bundle-sign.js';
import {generateKeys} from './commands/keys-generate.js';
import {exitCodes, type ExitCode} from './output/exit-codes.js';
import type {Output} from './output/output.js';

const groups = new Set(['bundle', 'keys', 'settings']);
const groupIndex = 2;

/**
 * Runs the tool.
 *
 * @param argv - The arguments, as the process got them.
 * @param output - Where to print.
 * @returns The exit code.
 */
export async function runCommandLine(
	argv: readonly string[],
	output: Output,
): Promise<ExitCode> {
	const program = makeProgram(output);
	try {
		program.parse(joinGroup(argv), {run: false});
		if (program.options.help === true || program.options.version === true) {
			return exitCodes.success;
		}

		if (program.matchedCommand === undefined) {
			program.outputHelp();
			return exitCodes.usage;
		}

		return (await program.runMatchedCommand()) as ExitCode;
	} catch (error) {
		output.printError(`bilberryscale: ${(error as Error).message}`);
		return exitCodes.usage;
	}
}

function makeProgram(output: Output): CAC {
	const program = cac('bilberryscale');
	program
		.command('bundle check <file>', 'Check a bundle')
		.action((file: string) => checkBundle(file, output));
	program
		.command('bundle sign <file>', 'Sign a bundle')
		.option('--signer <name>', 'Who signs')
		.option('--key <file>', 'The private key of the signer (PEM)')
		.option('--out <folder>', 'The folder of the published form')
		.action((file: string, flags: BundleSignFlags) =>
			signBundle(file, flags, output),
		);
	program
		.command('keys generate <name>', 'Make a key pair for a signer')
		.action((name: string) => generateKeys(name, output));
	program.help();
	program.version('0.1.0');
	return program;
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

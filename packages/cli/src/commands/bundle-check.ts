/** `bundle check`: reads a bundle and tells what is wrong with it. */

import fs from 'node:fs';
import {parseBundle} from '@bilberryscale/bundle';
import {exitCodes, type ExitCode} from '../output/exit-codes.js';
import type {Output} from '../output/output.js';

/**
 * Checks a bundle.
 *
 * @param file - The bundle in TOML.
 * @param output - Where to print.
 * @returns The exit code.
 */
export function checkBundle(file: string, output: Output): ExitCode {
	const bundle = parseBundle(fs.readFileSync(file, 'utf8'), file);
	if (bundle.isErr()) {
		for (const fault of bundle.error) {
			output.printError(fault);
		}

		return exitCodes.faults;
	}

	output.print(`${file}: ok, version ${bundle.value.version}`);
	return exitCodes.success;
}

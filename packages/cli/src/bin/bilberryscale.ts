#!/usr/bin/env node
/** The operators' tool as a program. */

import process from 'node:process';
import {runCommandLine} from '../command-line.js';

process.exitCode = await runCommandLine(process.argv, {
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	printError(line) {
		process.stderr.write(`${line}\n`);
	},
});

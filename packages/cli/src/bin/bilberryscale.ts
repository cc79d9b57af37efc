#!/usr/bin/env node
/** The operators' tool as a program. */

import process from 'node:process';
import {systemClock} from '@bilberryscale/core';
import {runCommandLine} from '../command-line.js';
import {makeHostQuery} from '../hosts/host-fetcher.js';

process.exitCode = await runCommandLine(process.argv, {
	output: {
		print(line) {
			process.stdout.write(`${line}\n`);
		},
		printError(line) {
			process.stderr.write(`${line}\n`);
		},
	},
	query: makeHostQuery(),
	clock: systemClock,
	getVariable: (name) => process.env[name],
});

#!/usr/bin/env node
/** Entry point of the command-line tool for operators. */

import process from 'node:process';
import {systemClock} from '@bilberryscale/core';
import {runCommandLine} from '../command-line.js';
import {makeHostFetcher} from '../hosts/host-fetcher.js';
import {makeSnapshotFetcher} from '../hosts/snapshot-fetcher.js';

process.exitCode = await runCommandLine(process.argv, {
	output: {
		print(line) {
			process.stdout.write(`${line}\n`);
		},
		printError(line) {
			process.stderr.write(`${line}\n`);
		},
	},
	fetchFromHost: makeHostFetcher(),
	fetchSnapshot: makeSnapshotFetcher(systemClock),
	clock: systemClock,
	getEnvironmentVariable: (name) => process.env[name],
});

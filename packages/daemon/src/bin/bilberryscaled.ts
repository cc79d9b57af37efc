#!/usr/bin/env node
/** The command line program of an entry process. */

import process from 'node:process';
import {systemClock} from '@bilberryscale/core';
import {cac} from 'cac';
import {EntryHost} from '../context/entry-host.js';
import {loadSettings} from '../settings/load-settings.js';

type Flags = {
	readonly settings?: string;
	readonly checkSettings?: boolean;
};

const failedStartCode = 1;
const invalidSettingsCode = 2;
const abortedRequestsCode = 3;
/** How long the responses to aborted requests may take to be delivered, in milliseconds. */
const deliveryMs = 500;
const exitCodeHelp = [
	'  0  every request was finished, or the settings are valid',
	'  1  the process could not start',
	'  2  the command line or the settings are invalid',
	'  3  requests were aborted by a second signal or the shutdown timeout',
].join('\n');

const cli = cac('bilberryscaled');
cli
	.command('', 'Run the entry process of this host')
	.option('--settings <file>', 'The settings file (TOML)')
	.option('--check-settings', 'Check the settings file and exit')
	.action(run);
cli.example('  bilberryscaled --settings /etc/bilberryscale/entry-1.toml');
cli.help((sections) => [
	...sections,
	{
		title: 'Signals',
		body: '  SIGTERM, SIGINT  finish every request and exit\n  SIGHUP           reload the trusted keys',
	},
	{title: 'Exit codes', body: exitCodeHelp},
]);
cli.version('0.1.0');
keepRunningWithoutLog();
await runProgram();

async function runProgram(): Promise<void> {
	try {
		cli.parse(process.argv, {run: false});
		await cli.runMatchedCommand();
	} catch (error) {
		fail([`bilberryscaled: ${(error as Error).message}`]);
	}
}

async function run(flags: Flags): Promise<void> {
	if (flags.settings === undefined) {
		fail(['--settings: a settings file is required']);
		return;
	}

	const loaded = loadSettings(flags.settings);
	if (loaded.isErr()) {
		fail(loaded.error);
		return;
	}

	if (flags.checkSettings) {
		process.stdout.write(`${flags.settings}: ok\n`);
		return;
	}

	const host = new EntryHost({
		loaded: loaded.value,
		clock: systemClock,
		seed: Date.now(),
	});
	reloadOnSignal(host, flags.settings);
	stopOnSignals(host, loaded.value.settings.limits.shutdownMs);
	try {
		await host.start();
	} catch (error) {
		writeErrors([`bilberryscaled: cannot start: ${(error as Error).message}`]);
		process.exit(failedStartCode);
	}
}

/** Keeps errors of the output streams, whose reader may have gone, from ending the process. */
function keepRunningWithoutLog(): void {
	for (const stream of [process.stdout, process.stderr]) {
		stream.on('error', () => {
			// There is no other place to report it.
		});
	}
}

/** Reloads the settings on SIGHUP; if they are invalid, prints the errors and keeps the current ones. */
function reloadOnSignal(host: EntryHost, file: string): void {
	process.on('SIGHUP', () => {
		const loaded = loadSettings(file);
		if (loaded.isOk()) {
			host.reload(loaded.value);
		} else {
			writeErrors(loaded.error);
		}
	});
}

function stopOnSignals(host: EntryHost, shutdownTimeoutMs: number): void {
	let isStopping = false;
	let exitCode = 0;
	const abort = (reason: string) => {
		process.stderr.write(`bilberryscaled: ${reason}, requests are aborted\n`);
		exitCode = abortedRequestsCode;
		host.endRequests();
		systemClock.schedule(deliveryMs, () => {
			process.exit(exitCode);
		});
	};

	const shutDown = async () => {
		if (isStopping) {
			abort('second signal');
			return;
		}

		isStopping = true;
		const endsRequestsInMs = Math.max(0, shutdownTimeoutMs - deliveryMs);
		systemClock.schedule(endsRequestsInMs, () => {
			abort(`shutdown not finished in ${shutdownTimeoutMs} ms`);
		});
		await host.stop(endsRequestsInMs);
		process.exit(exitCode);
	};

	process.on('SIGTERM', () => {
		void shutDown();
	});
	process.on('SIGINT', () => {
		void shutDown();
	});
}

function fail(messages: readonly string[]): void {
	writeErrors(messages);
	process.exitCode = invalidSettingsCode;
}

function writeErrors(messages: readonly string[]): void {
	for (const message of messages) {
		process.stderr.write(`${message}\n`);
	}
}

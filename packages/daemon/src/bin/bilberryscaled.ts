#!/usr/bin/env node
/** The entry process. */

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
const badSettingsCode = 2;
const overdueCode = 3;
const exitCodeHelp = [
	'  0  every request was finished, or the settings are in order',
	'  1  the process could not start',
	'  2  the command line or the settings are wrong',
	'  3  requests were cut: a second signal, or the time for the shutdown ended',
].join('\n');

const program = cac('bilberryscaled');
program
	.command('', 'Run the entry process of this host')
	.option('--settings <file>', 'The settings file (TOML)')
	.option('--check-settings', 'Check the settings file and exit')
	.action(run);
program.example('  bilberryscaled --settings /etc/bilberryscale/entry-1.toml');
program.help((sections) => [
	...sections,
	{
		title: 'Signals',
		body: '  SIGTERM, SIGINT  finish every request and exit\n  SIGHUP           read the trusted keys again',
	},
	{title: 'Exit codes', body: exitCodeHelp},
]);
program.version('0.1.0');
await runProgram();

async function runProgram(): Promise<void> {
	try {
		program.parse(process.argv, {run: false});
		await program.runMatchedCommand();
	} catch (error) {
		fail([`bilberryscaled: ${(error as Error).message}`]);
	}
}

async function run(flags: Flags): Promise<void> {
	if (flags.settings === undefined) {
		fail(['--settings: the settings file is missing']);
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

/** Settings that are wrong are told and leave the former in force. */
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

function stopOnSignals(host: EntryHost, shutdownMs: number): void {
	let isStopping = false;
	const stop = async () => {
		if (isStopping) {
			process.stderr.write('bilberryscaled: second signal, requests are cut\n');
			process.exit(overdueCode);
		}

		isStopping = true;
		systemClock.schedule(shutdownMs, () => {
			process.stderr.write(
				`bilberryscaled: not done after ${shutdownMs} ms, requests are cut\n`,
			);
			process.exit(overdueCode);
		});
		await host.stop();
		process.exit(0);
	};

	process.on('SIGTERM', () => {
		void stop();
	});
	process.on('SIGINT', () => {
		void stop();
	});
}

function fail(messages: readonly string[]): void {
	writeErrors(messages);
	process.exitCode = badSettingsCode;
}

function writeErrors(messages: readonly string[]): void {
	for (const message of messages) {
		process.stderr.write(`${message}\n`);
	}
}

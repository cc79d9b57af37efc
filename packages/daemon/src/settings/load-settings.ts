/** Reads and checks the settings file. */

import fs from 'node:fs';
import {
	describeIssues,
	parseToml,
	readTrust,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {Err, Ok, type Result} from 'ts-results-es';
import {settingsSchema, type Settings} from './settings.js';

/** Settings whose keys were read. */
export type LoadedSettings = {
	readonly settings: Settings;
	readonly trust: TrustPolicy;
};

/**
 * Reads the settings from a file.
 *
 * @param file - The path of the file.
 * @returns The settings, or every fault that was found.
 */
export function loadSettings(
	file: string,
): Result<LoadedSettings, readonly string[]> {
	try {
		return parseSettings(fs.readFileSync(file, 'utf8'), file);
	} catch (error) {
		return Err([`${file}: ${(error as Error).message}`]);
	}
}

/**
 * Reads the settings from TOML.
 *
 * @param text - The TOML text.
 * @param fileName - The file's name, for messages.
 * @returns The settings, or every fault that was found.
 */
export function parseSettings(
	text: string,
	fileName: string,
): Result<LoadedSettings, readonly string[]> {
	const document = parseToml(text, fileName);
	if (document.isErr()) {
		return Err([document.error]);
	}

	const checked = settingsSchema.safeParse(document.value);
	if (!checked.success) {
		return Err(describeIssues(fileName, checked.error, document.value));
	}

	const settings = checked.data;
	return readTrust(settings.trust, `${fileName}: trust.`).map((trust) => ({
		settings,
		trust,
	}));
}

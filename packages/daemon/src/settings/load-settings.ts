/** Reads and validates the settings file. */

import fs from 'node:fs';
import {
	describeIssues,
	parseToml,
	readTrust,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {Err, Ok, type Result} from 'ts-results-es';
import {settingsSchema, type Settings} from './settings.js';

/** Validated settings with their parsed trust policy. */
export type LoadedSettings = {
	readonly settings: Settings;
	readonly trust: TrustPolicy;
};

/**
 * Loads the settings from a file.
 *
 * @param file - The path of the file.
 * @returns The settings, or a message for every error found.
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
 * Parses settings in TOML.
 *
 * @param text - The TOML text.
 * @param fileName - The file name for error messages.
 * @returns The settings, or a message for every error found.
 */
export function parseSettings(
	text: string,
	fileName: string,
): Result<LoadedSettings, readonly string[]> {
	const document = parseToml(text, fileName);
	if (document.isErr()) {
		return Err([document.error]);
	}

	const validated = settingsSchema.safeParse(document.value);
	if (!validated.success) {
		return Err(describeIssues(fileName, validated.error, document.value));
	}

	const settings = validated.data;
	return readTrust(settings.trust, `${fileName}: trust.`).map((trust) => ({
		settings,
		trust,
	}));
}

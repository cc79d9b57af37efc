/** Reads and checks the settings file. */

import fs from 'node:fs';
import {
	describeIssues,
	parsePublicKey,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {parse} from 'smol-toml';
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
 * @throws TomlError if the text is not TOML.
 */
export function parseSettings(
	text: string,
	fileName: string,
): Result<LoadedSettings, readonly string[]> {
	const document = parse(text);
	const checked = settingsSchema.safeParse(document);
	if (!checked.success) {
		return Err(describeIssues(fileName, checked.error, document));
	}

	const settings = checked.data;
	return readTrust(settings, fileName).map((trust) => ({settings, trust}));
}

function readTrust(
	settings: Settings,
	fileName: string,
): Result<TrustPolicy, readonly string[]> {
	const {keys, threshold} = settings.trust;
	const faults: string[] = [];
	const trusted = keys.flatMap(({signer, publicKey}) => {
		const key = parsePublicKey(publicKey);
		if (key.isErr()) {
			faults.push(`${fileName}: trust.keys: "${signer}" ${key.error}`);
			return [];
		}

		return [{signer, publicKey: key.value}];
	});
	const signers = new Set(keys.map(({signer}) => signer));
	if (threshold > signers.size) {
		faults.push(
			`${fileName}: trust.threshold: ${threshold} signers are needed but only ${signers.size} are named`,
		);
	}

	return faults.length > 0 ? Err(faults) : Ok({keys: trusted, threshold});
}

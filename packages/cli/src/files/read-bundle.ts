/** Reads a bundle from a TOML file or from a folder in its published form. */

import fs from 'node:fs';
import {
	joinBundle,
	parseBundle,
	type Bundle,
	type SignedManifest,
} from '@bilberryscale/bundle';
import {Err, type Result} from 'ts-results-es';
import {UsageError} from '../output/usage-error.js';
import {readManifest, readParts} from './published-bundle.js';
import {readTextFileOrThrow} from './read-text-file.js';

/**
 * Reads a bundle.
 *
 * @param place - A TOML file, or a folder in the published form.
 * @returns The bundle, or every fault that was found.
 * @throws UsageError if there is no such file or folder.
 */
export function readBundle(place: string): Result<Bundle, readonly string[]> {
	if (!isDirectory(place)) {
		return parseBundle(readTextFileOrThrow(place), place);
	}

	const signed = readSignedManifestOrThrow(place);
	if (signed.isErr()) {
		return Err(signed.error);
	}

	const {manifest} = signed.value;
	return readParts(place, signed.value).andThen((parts) => {
		const texts = new Map(
			parts.map(({digest, text}) => [digest, text] as const),
		);
		return joinBundle(manifest, (digest) => texts.get(digest));
	});
}

/**
 * Reads the signed manifest of a folder.
 *
 * @param folder - The folder.
 * @returns The manifest, or what is wrong with it.
 * @throws UsageError if the folder has none.
 */
export function readSignedManifestOrThrow(
	folder: string,
): Result<SignedManifest, readonly string[]> {
	return readManifest(folder).map((signed) => {
		if (signed === undefined) {
			throw new UsageError(
				`${folder}: is not a published bundle; it has no manifest.json`,
			);
		}

		return signed;
	});
}

/**
 * Tells whether a path is a folder.
 *
 * @param place - The path.
 * @returns True if it is.
 */
export function isDirectory(place: string): boolean {
	return fs.statSync(place, {throwIfNoEntry: false})?.isDirectory() ?? false;
}

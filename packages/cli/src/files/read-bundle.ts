/** Reads a bundle from a TOML file or from the folder of a published bundle. */

import fs from 'node:fs';
import {
	joinBundle,
	parseBundle,
	type Bundle,
	type SignedManifest,
} from '@bilberryscale/bundle';
import {Err, type Result} from 'ts-results-es';
import {UsageError} from '../output/usage-error.js';
import {readSignedManifest, readParts} from './published-bundle.js';
import {readTextFileOrThrow} from './read-text-file.js';

/**
 * Reads a bundle.
 *
 * @param path - A TOML file, or the folder of a published bundle.
 * @returns The bundle, or all errors found.
 * @throws UsageError if the file cannot be read or the folder has no manifest.
 */
export function readBundle(path: string): Result<Bundle, readonly string[]> {
	if (!isDirectory(path)) {
		return parseBundle(readTextFileOrThrow(path), path);
	}

	const signedManifest = readSignedManifestOrThrow(path);
	if (signedManifest.isErr()) {
		return Err(signedManifest.error);
	}

	const {manifest} = signedManifest.value;
	return readParts(path, signedManifest.value).andThen((parts) => {
		const texts = new Map(
			parts.map(({digest, text}) => [digest, text] as const),
		);
		return joinBundle(manifest, (digest) => texts.get(digest));
	});
}

/**
 * Reads the signed manifest of a published bundle.
 *
 * @param folder - The folder.
 * @returns The manifest, or the errors in it.
 * @throws UsageError if the folder has no manifest.
 */
export function readSignedManifestOrThrow(
	folder: string,
): Result<SignedManifest, readonly string[]> {
	return readSignedManifest(folder).map((signedManifest) => {
		if (signedManifest === undefined) {
			throw new UsageError(
				`${folder}: is not a published bundle: manifest.json not found`,
			);
		}

		return signedManifest;
	});
}

/**
 * Checks whether a path is a directory.
 *
 * @param path - The path.
 * @returns True for a directory, false for anything else or if nothing exists there.
 */
export function isDirectory(path: string): boolean {
	return fs.statSync(path, {throwIfNoEntry: false})?.isDirectory() ?? false;
}

/** Reads and writes the folder of a published bundle: `manifest.json` and one file per part. */

import fs from 'node:fs';
import path from 'node:path';
import {
	parseSignedManifest,
	type Part,
	type PublishedBundle,
	type SignedManifest,
} from '@bilberryscale/bundle';
import {Err, Ok, type Result} from 'ts-results-es';
import {UsageError} from '../output/usage-error.js';
import {describeFileError} from './read-text-file.js';

const manifestFile = 'manifest.json';
const partsFolder = 'parts';

/**
 * Writes a published bundle to a folder.
 *
 * @param folder - The folder; created if it does not exist.
 * @param published - The signed manifest and the parts.
 * @throws UsageError if a file cannot be written.
 */
export function writePublishedBundleOrThrow(
	folder: string,
	published: PublishedBundle,
): void {
	try {
		writePublishedBundle(folder, published);
	} catch (error) {
		throw new UsageError(
			`${folder}: cannot be written: ${describeFileError(error)}`,
		);
	}
}

function writePublishedBundle(
	folder: string,
	published: PublishedBundle,
): void {
	fs.mkdirSync(path.join(folder, partsFolder), {recursive: true});
	for (const {digest, text} of published.parts) {
		fs.writeFileSync(path.join(folder, partsFolder, `${digest}.json`), text);
	}

	const text = JSON.stringify(published.signedManifest, undefined, '\t');
	fs.writeFileSync(path.join(folder, manifestFile), `${text}\n`);
}

/**
 * Reads the signed manifest of a published bundle.
 *
 * @param folder - The folder.
 * @returns The manifest, undefined if the folder has none, or the errors in it.
 */
export function readSignedManifest(
	folder: string,
): Result<SignedManifest | undefined, readonly string[]> {
	const file = path.join(folder, manifestFile);
	return fs.existsSync(file)
		? parseSignedManifest(fs.readFileSync(file, 'utf8'), file)
		: Ok(undefined);
}

/**
 * Reads the parts that a manifest lists.
 *
 * @param folder - The folder.
 * @param signedManifest - The manifest.
 * @returns The parts, or an error for each missing file.
 */
export function readParts(
	folder: string,
	signedManifest: SignedManifest,
): Result<readonly Part[], readonly string[]> {
	const files = signedManifest.manifest.parts.map(({digest}) => ({
		digest,
		file: path.join(folder, partsFolder, `${digest}.json`),
	}));
	const missingFiles = files.filter(({file}) => !fs.existsSync(file));
	if (missingFiles.length > 0) {
		return Err(missingFiles.map(({file}) => `${file}: missing`));
	}

	return Ok(
		files.map(({digest, file}) => ({
			digest,
			text: fs.readFileSync(file, 'utf8'),
		})),
	);
}

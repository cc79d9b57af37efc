/** A folder that holds a bundle in its published form. */

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
 * Writes a published bundle.
 *
 * @param folder - The folder; it is made if it is missing.
 * @param published - The signed manifest and the parts.
 * @throws UsageError if the folder cannot be written.
 */
export function writePublishedBundleOrThrow(
	folder: string,
	published: PublishedBundle,
): void {
	try {
		writePublishedBundle(folder, published);
	} catch (error) {
		throw new UsageError(`${folder}: cannot be written: ${describeFileError(error)}`);
	}
}

function writePublishedBundle(folder: string, published: PublishedBundle): void {
	fs.mkdirSync(path.join(folder, partsFolder), {recursive: true});
	for (const {digest, text} of published.parts) {
		fs.writeFileSync(path.join(folder, partsFolder, `${digest}.json`), text);
	}

	const text = JSON.stringify(published.signed, undefined, '\t');
	fs.writeFileSync(path.join(folder, manifestFile), `${text}\n`);
}

/**
 * Reads the signed manifest of a folder.
 *
 * @param folder - The folder.
 * @returns The manifest, undefined if there is none, or what is wrong with it.
 */
export function readManifest(
	folder: string,
): Result<SignedManifest | undefined, readonly string[]> {
	const file = path.join(folder, manifestFile);
	return fs.existsSync(file)
		? parseSignedManifest(fs.readFileSync(file, 'utf8'), file)
		: Ok(undefined);
}

/**
 * Reads the parts that a manifest names.
 *
 * @param folder - The folder.
 * @param signed - The manifest.
 * @returns The parts, or which files are missing.
 */
export function readParts(
	folder: string,
	signed: SignedManifest,
): Result<readonly Part[], readonly string[]> {
	const files = signed.manifest.parts.map(({digest}) => ({
		digest,
		file: path.join(folder, partsFolder, `${digest}.json`),
	}));
	const missing = files.filter(({file}) => !fs.existsSync(file));
	if (missing.length > 0) {
		return Err(missing.map(({file}) => `${file}: missing`));
	}

	return Ok(
		files.map(({digest, file}) => ({
			digest,
			text: fs.readFileSync(file, 'utf8'),
		})),
	);
}

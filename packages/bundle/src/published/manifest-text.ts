/** The canonical text of a manifest, made once for each manifest. */

import type {Digest} from '@bilberryscale/core';
import {getCanonicalText, getDigest} from '../utils/canonical.js';
import type {Manifest} from './published-bundle.js';

type ManifestText = {
	readonly text: string;
	readonly digest: Digest;
};

const made = new WeakMap<Manifest, ManifestText>();

/**
 * Gets the canonical text of a manifest, over which signatures are made.
 *
 * @param manifest - The manifest; it must not change afterwards.
 * @returns The text.
 */
export function getManifestText(manifest: Manifest): string {
	return getOrMake(manifest).text;
}

/**
 * Gets the digest of a manifest's canonical text.
 *
 * @param manifest - The manifest; it must not change afterwards.
 * @returns The digest.
 */
export function getManifestDigest(manifest: Manifest): Digest {
	return getOrMake(manifest).digest;
}

function getOrMake(manifest: Manifest): ManifestText {
	const known = made.get(manifest);
	if (known !== undefined) {
		return known;
	}

	const text = getCanonicalText(manifest);
	const result = {text, digest: getDigest(text)};
	made.set(manifest, result);
	return result;
}

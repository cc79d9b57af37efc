/** Computes and caches the canonical text of manifests. */

import type {Digest} from '@bilberryscale/core';
import {getCanonicalJson, getDigest} from '../utils/canonical-json.js';
import type {Manifest} from './published-bundle.js';

type ManifestText = {
	readonly text: string;
	readonly digest: Digest;
};

const cache = new WeakMap<Manifest, ManifestText>();

/**
 * Gets the canonical text of a manifest, which is the text that signers sign.
 *
 * @param manifest - The manifest, which must not be changed afterwards because the result is cached.
 * @returns The canonical text.
 */
export function getManifestText(manifest: Manifest): string {
	return getOrCompute(manifest).text;
}

/**
 * Gets the digest of a manifest's canonical text.
 *
 * @param manifest - The manifest, which must not be changed afterwards because the result is cached.
 * @returns The digest.
 */
export function getManifestDigest(manifest: Manifest): Digest {
	return getOrCompute(manifest).digest;
}

function getOrCompute(manifest: Manifest): ManifestText {
	const cached = cache.get(manifest);
	if (cached !== undefined) {
		return cached;
	}

	const text = getCanonicalJson(manifest);
	const result = {text, digest: getDigest(text)};
	cache.set(manifest, result);
	return result;
}

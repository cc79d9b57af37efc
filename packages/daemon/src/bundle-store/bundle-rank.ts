/** The total order of bundles, the same on every host. */

import {getManifestDigest, type Manifest} from '@bilberryscale/bundle';
import type {BundleVersion, Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {makeRefusal, type BundleRefusal} from './bundle-refusal.js';

/** The position of a bundle in the order. */
export type BundleRank = {
	readonly version: BundleVersion;
	/** The digest of the manifest without its signatures. */
	readonly digest: Digest;
};

/**
 * Gets the rank of a manifest.
 *
 * @param manifest - The manifest.
 * @returns Its rank.
 */
export function getRank(manifest: Manifest): BundleRank {
	return {
		version: manifest.version,
		digest: getManifestDigest(manifest),
	};
}

/**
 * Checks that one bundle takes precedence over another: it has a higher version or, for the same version, a lower digest.
 *
 * @param candidate - The rank of the offered bundle.
 * @param current - The rank of the active bundle; undefined before the first.
 * @returns Nothing, or why the candidate does not replace the active bundle.
 */
export function checkPrecedence(
	candidate: BundleRank,
	current: BundleRank | undefined,
): Result<void, BundleRefusal> {
	if (current === undefined || candidate.version > current.version) {
		return Ok(undefined);
	}

	if (candidate.version < current.version) {
		const cause = `version ${candidate.version} is lower than version ${current.version}, which is in force`;
		return Err(makeRefusal('older', cause));
	}

	if (candidate.digest === current.digest) {
		const cause = `version ${current.version} is already in force`;
		return Err(makeRefusal('in-force', cause));
	}

	const cause = `version ${current.version} is in force with another content, whose digest is lower`;
	return candidate.digest < current.digest
		? Ok(undefined)
		: Err(makeRefusal('conflict', cause));
}

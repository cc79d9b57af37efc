/** Verifies the signatures of a manifest. */

import type {SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	getManifestDigest,
	getManifestText,
} from '../published/manifest-text.js';
import type {
	ManifestSignature,
	SignedManifest,
} from '../published/published-bundle.js';
import {
	checkSignature,
	type SignatureCheck,
	type SignedContent,
} from './signature-cache.js';
import type {TrustPolicy} from './signer-key.js';

/**
 * Verifies that enough different trusted signers signed a manifest.
 *
 * @param signed - The manifest and its signatures.
 * @param policy - The trusted keys and how many must sign.
 * @param check - Verifies one signature.
 * @returns The signers whose signatures hold, or why they are too few.
 */
export function verifyManifest(
	signed: SignedManifest,
	policy: TrustPolicy,
	check: SignatureCheck = checkSignature,
): Result<readonly SignerName[], string> {
	const valid = getValidSignatures(signed, policy, check);
	const signers = [...new Set(valid.map(({signer}) => signer))];
	return signers.length >= policy.threshold
		? Ok(signers)
		: Err(
				`signed by ${signers.length} trusted keys (${signers.join(', ') || 'none'}), needs ${policy.threshold}`,
			);
}

/**
 * Gets the signatures that a trusted key made.
 *
 * @param signed - The manifest and its signatures.
 * @param policy - The trusted keys.
 * @param check - Verifies one signature.
 * @returns The signatures that hold.
 */
export function getValidSignatures(
	signed: SignedManifest,
	policy: TrustPolicy,
	check: SignatureCheck = checkSignature,
): readonly ManifestSignature[] {
	const content: SignedContent = {
		text: getManifestText(signed.manifest),
		digest: getManifestDigest(signed.manifest),
	};
	return signed.signatures.filter(({signer, signature}) =>
		policy.keys.some(
			(key) => key.signer === signer && check(content, signature, key),
		),
	);
}

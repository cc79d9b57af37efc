/** Verifies the signatures of manifests. */

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
	verifySignature,
	type SignatureVerifier,
	type SignedContent,
} from './signature-verifier.js';
import type {TrustPolicy} from './signer-key.js';

/**
 * Verifies that a manifest is signed by the required number of different trusted signers.
 *
 * @param signedManifest - The manifest and its signatures.
 * @param policy - The trusted keys and the required number of signers.
 * @param verifier - Verifies one signature.
 * @returns The signers with valid signatures, or why the signatures are insufficient.
 */
export function verifyManifest(
	signedManifest: SignedManifest,
	policy: TrustPolicy,
	verifier: SignatureVerifier = verifySignature,
): Result<readonly SignerName[], string> {
	const validSignatures = getValidSignatures(signedManifest, policy, verifier);
	const signers = [...new Set(validSignatures.map(({signer}) => signer))];
	return signers.length >= policy.threshold
		? Ok(signers)
		: Err(
				`signed by ${signers.length} trusted keys (${signers.join(', ') || 'none'}), needs ${policy.threshold}`,
			);
}

/**
 * Gets the valid signatures of trusted signers.
 *
 * @param signedManifest - The manifest and its signatures.
 * @param policy - The trusted keys.
 * @param verifier - Verifies one signature.
 * @returns The valid signatures.
 */
export function getValidSignatures(
	signedManifest: SignedManifest,
	policy: TrustPolicy,
	verifier: SignatureVerifier = verifySignature,
): readonly ManifestSignature[] {
	const content: SignedContent = {
		text: getManifestText(signedManifest.manifest),
		digest: getManifestDigest(signedManifest.manifest),
	};
	return signedManifest.signatures.filter(({signer, signature}) =>
		policy.keys.some(
			(key) => key.signer === signer && verifier(content, signature, key),
		),
	);
}

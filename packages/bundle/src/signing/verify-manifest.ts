/** Verifies the signatures of a manifest. */

import {Buffer} from 'node:buffer';
import {verify} from 'node:crypto';
import type {SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {SignedManifest} from '../published/published-bundle.js';
import {getCanonicalText} from '../utils/canonical.js';
import type {TrustPolicy} from './signer-key.js';

/**
 * Verifies that enough different trusted signers signed a manifest.
 *
 * @param signed - The manifest and its signatures.
 * @param policy - The trusted keys and how many must sign.
 * @returns The signers whose signatures hold, or why they are too few.
 */
export function verifyManifest(
	signed: SignedManifest,
	policy: TrustPolicy,
): Result<readonly SignerName[], string> {
	const content = Buffer.from(getCanonicalText(signed.manifest));
	const signers = policy.keys
		.filter(({signer, publicKey}) =>
			signed.signatures.some(
				(item) =>
					item.signer === signer &&
					verify(
						undefined,
						content,
						publicKey,
						Buffer.from(item.signature, 'base64'),
					),
			),
		)
		.map(({signer}) => signer);
	const distinct = [...new Set(signers)];
	return distinct.length >= policy.threshold
		? Ok(distinct)
		: Err(
				`signed by ${distinct.length} trusted keys (${distinct.join(', ') || 'none'}), needs ${policy.threshold}`,
			);
}

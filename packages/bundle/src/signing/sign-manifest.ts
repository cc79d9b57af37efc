/** Signs a manifest. */

import {Buffer} from 'node:buffer';
import {sign, type KeyObject} from 'node:crypto';
import type {SignerName} from '@bilberryscale/core';
import type {SignedManifest} from '../published/published-bundle.js';
import {getManifestText} from '../published/manifest-text.js';

/**
 * Adds a signature to a manifest; a former one of the same signer is replaced.
 *
 * @param signed - The manifest with the signatures so far.
 * @param signer - The name of the signer.
 * @param privateKey - The signer's Ed25519 key.
 * @returns The manifest with one signature more.
 */
export function signManifest(
	signed: SignedManifest,
	signer: SignerName,
	privateKey: KeyObject,
): SignedManifest {
	const text = getManifestText(signed.manifest);
	const signature = sign(undefined, Buffer.from(text), privateKey);
	const others = signed.signatures.filter((item) => item.signer !== signer);
	return {
		manifest: signed.manifest,
		signatures: [...others, {signer, signature: signature.toString('base64')}],
	};
}

/** Signs manifests. */

import {Buffer} from 'node:buffer';
import {sign, type KeyObject} from 'node:crypto';
import type {SignerName} from '@bilberryscale/core';
import type {SignedManifest} from '../published/published-bundle.js';
import {getManifestText} from '../published/manifest-text.js';

/**
 * Adds a signature to a manifest and replaces an existing signature of the same signer.
 *
 * @param signedManifest - The manifest and its existing signatures.
 * @param signer - The name of the signer.
 * @param privateKey - The signer's Ed25519 key.
 * @returns The manifest with the new signature.
 */
export function signManifest(
	signedManifest: SignedManifest,
	signer: SignerName,
	privateKey: KeyObject,
): SignedManifest {
	const text = getManifestText(signedManifest.manifest);
	const signature = sign(undefined, Buffer.from(text), privateKey);
	const otherSignatures = signedManifest.signatures.filter(
		(item) => item.signer !== signer,
	);
	return {
		manifest: signedManifest.manifest,
		signatures: [
			...otherSignatures,
			{signer, signature: signature.toString('base64')},
		],
	};
}

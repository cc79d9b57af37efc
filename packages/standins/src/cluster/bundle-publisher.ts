/** Signs and publishes bundles in place of the operators. */

import {
	generateKeyPair,
	parsePrivateKey,
	signManifest,
	splitBundle,
	type Bundle,
	type SignedManifest,
} from '@bilberryscale/bundle';
import {
	getPartValueName,
	makeId,
	manifestValueName,
	type SignerName,
} from '@bilberryscale/core';
import type {SimulatedPlatform} from '../platform/simulated-platform.js';
import type {TrustedSigner} from './entry-settings.js';

type SigningOperator = TrustedSigner & {
	readonly privateKey: string;
};

/** Operators with a key pair each, who sign every bundle together. */
export class BundlePublisher {
	readonly #signers: readonly SigningOperator[];

	/**
	 * @param names - The names of the operators.
	 */
	constructor(names: readonly string[]) {
		this.#signers = names.map((signer) => ({signer, ...generateKeyPair()}));
	}

	/** The operators' public keys, for the settings of entry hosts. */
	get trustedSigners(): readonly TrustedSigner[] {
		return this.#signers.map(({signer, publicKey}) => ({signer, publicKey}));
	}

	/**
	 * Signs a bundle with every operator's key.
	 *
	 * @param bundle - The bundle.
	 * @returns The signed manifest.
	 */
	sign(bundle: Bundle): SignedManifest {
		let signedManifest: SignedManifest = {
			manifest: splitBundle(bundle).manifest,
			signatures: [],
		};
		for (const {signer, privateKey} of this.#signers) {
			const key = parsePrivateKey(privateKey).unwrap();
			signedManifest = signManifest(
				signedManifest,
				makeId<SignerName>(signer),
				key,
			);
		}

		return signedManifest;
	}

	/**
	 * Signs a bundle and publishes it, the parts before the manifest that lists them.
	 *
	 * @param platform - The platform to publish to.
	 * @param bundle - The bundle.
	 */
	publish(platform: SimulatedPlatform, bundle: Bundle): void {
		for (const {digest, text} of splitBundle(bundle).parts) {
			platform.setValue(getPartValueName(digest), text);
		}

		platform.setValue(manifestValueName, JSON.stringify(this.sign(bundle)));
	}
}

/** Stands in for the operators: signs bundles and publishes them. */

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
import type {PlatformStandin} from '../platform/platform-standin.js';
import type {TrustedSigner} from './entry-settings.js';

type SigningOperator = TrustedSigner & {
	readonly privateKey: string;
};

/** Operators with a key each. */
export class OperatorDesk {
	readonly #signers: readonly SigningOperator[];

	/**
	 * @param names - The names of the operators.
	 */
	constructor(names: readonly string[]) {
		this.#signers = names.map((signer) => ({signer, ...generateKeyPair()}));
	}

	/** Gets the public keys that entry hosts are to trust. */
	get trusted(): readonly TrustedSigner[] {
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
	 * Signs a bundle and publishes it, its parts first.
	 *
	 * @param platform - Where to publish.
	 * @param bundle - The bundle.
	 */
	roll(platform: PlatformStandin, bundle: Bundle): void {
		for (const {digest, text} of splitBundle(bundle).parts) {
			platform.setValue(getPartValueName(digest), text);
		}

		platform.setValue(manifestValueName, JSON.stringify(this.sign(bundle)));
	}
}

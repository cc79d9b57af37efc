/** The keys with which operators sign bundles. */

import {
	createPrivateKey,
	createPublicKey,
	generateKeyPairSync,
	type KeyObject,
} from 'node:crypto';
import type {SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';

/** A key pair in PEM format. */
export type PemKeyPair = {
	readonly privateKey: string;
	readonly publicKey: string;
};

/** The public key of a named signer. */
export type TrustedKey = {
	readonly signer: SignerName;
	readonly publicKey: KeyObject;
};

/** The keys that a host trusts and the number of signers that it requires. */
export type TrustPolicy = {
	readonly keys: readonly TrustedKey[];
	/** The number of different signers that a bundle requires. */
	readonly threshold: number;
};

/**
 * Generates an Ed25519 key pair.
 *
 * @returns Both keys in PEM format.
 */
export function generateKeyPair(): PemKeyPair {
	const {privateKey, publicKey} = generateKeyPairSync('ed25519');
	return {
		privateKey: privateKey.export({type: 'pkcs8', format: 'pem'}).toString(),
		publicKey: publicKey.export({type: 'spki', format: 'pem'}).toString(),
	};
}

/**
 * Parses an Ed25519 public key.
 *
 * @param pem - The key in PEM format.
 * @returns The key, or why it is invalid.
 */
export function parsePublicKey(pem: string): Result<KeyObject, string> {
	return parseKey(() => createPublicKey(pem));
}

/**
 * Parses an Ed25519 private key.
 *
 * @param pem - The key in PEM format.
 * @returns The key, or why it is invalid.
 */
export function parsePrivateKey(pem: string): Result<KeyObject, string> {
	return parseKey(() => createPrivateKey(pem));
}

function parseKey(create: () => KeyObject): Result<KeyObject, string> {
	let key: KeyObject;
	try {
		key = create();
	} catch {
		return Err('is not a key in PEM');
	}

	return key.asymmetricKeyType === 'ed25519'
		? Ok(key)
		: Err(`is a key of type ${key.asymmetricKeyType}, not ed25519`);
}

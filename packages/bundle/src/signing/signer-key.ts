/** The keys with which operators sign off bundles. */

import {
	createPrivateKey,
	createPublicKey,
	generateKeyPairSync,
	type KeyObject,
} from 'node:crypto';
import type {SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';

/** A key pair in PEM. */
export type KeyPairText = {
	readonly privateKey: string;
	readonly publicKey: string;
};

/** The public key of a named signer. */
export type TrustedKey = {
	readonly signer: SignerName;
	readonly publicKey: KeyObject;
};

/** The keys that a host trusts and how many of them must sign. */
export type TrustPolicy = {
	readonly keys: readonly TrustedKey[];
	/** How many different signers a bundle needs. */
	readonly threshold: number;
};

/**
 * Makes a new Ed25519 key pair.
 *
 * @returns Both keys in PEM.
 */
export function generateKeyPair(): KeyPairText {
	const {privateKey, publicKey} = generateKeyPairSync('ed25519');
	return {
		privateKey: privateKey.export({type: 'pkcs8', format: 'pem'}).toString(),
		publicKey: publicKey.export({type: 'spki', format: 'pem'}).toString(),
	};
}

/**
 * Reads an Ed25519 public key.
 *
 * @param pem - The key in PEM.
 * @returns The key, or why it is not one.
 */
export function parsePublicKey(pem: string): Result<KeyObject, string> {
	return parseKey(() => createPublicKey(pem));
}

/**
 * Reads an Ed25519 private key.
 *
 * @param pem - The key in PEM.
 * @returns The key, or why it is not one.
 */
export function parsePrivateKey(pem: string): Result<KeyObject, string> {
	return parseKey(() => createPrivateKey(pem));
}

function parseKey(read: () => KeyObject): Result<KeyObject, string> {
	let key: KeyObject;
	try {
		key = read();
	} catch {
		return Err('is not a key in PEM');
	}

	return key.asymmetricKeyType === 'ed25519'
		? Ok(key)
		: Err(`is a key of type ${key.asymmetricKeyType}, not ed25519`);
}

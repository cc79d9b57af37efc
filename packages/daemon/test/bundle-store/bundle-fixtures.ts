/** Small signed bundles for the tests of the bundle store. */

import {
	generateKeyPair,
	parseBundle,
	parsePrivateKey,
	parsePublicKey,
	signManifest,
	splitBundle,
	type SignedManifest,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {makeId, type Digest, type SignerName} from '@bilberryscale/core';

/** The version, content and signers of a test bundle. */
export type TestBundleOptions = {
	readonly version: number;
	/** Distinguishes different contents of one version. */
	readonly slots?: number;
	readonly signers?: readonly string[];
	/** Whether the data centre `west` is drained. */
	readonly isWestOut?: boolean;
};

/** A signed bundle and its parts. */
export type SignedBundle = {
	readonly signed: SignedManifest;
	readonly parts: ReadonlyMap<Digest, string>;
};

const testSigners = ['ana', 'bat', 'cid', 'eve'].map((signer) => ({
	signer: makeId<SignerName>(signer),
	...generateKeyPair(),
}));

/**
 * Creates a trust policy that requires two signers.
 *
 * @param names - The trusted signers.
 * @returns The policy.
 */
export function makeTrustPolicy(
	names: readonly string[] = ['ana', 'bat', 'cid'],
): TrustPolicy {
	return {
		threshold: 2,
		keys: testSigners
			.filter(({signer}) => names.includes(signer))
			.map(({signer, publicKey}) => ({
				signer,
				publicKey: parsePublicKey(publicKey).unwrap(),
			})),
	};
}

/**
 * Creates a signed bundle with two services.
 *
 * @param options - Its version, content and signers.
 * @returns The signed manifest and its parts, as they are published.
 */
export function makeSignedBundle(options: TestBundleOptions): SignedBundle {
	const {signers = ['ana', 'bat']} = options;
	const split = splitBundle(parseBundle(getText(options), 'b.toml').unwrap());
	let signed: SignedManifest = {manifest: split.manifest, signatures: []};
	for (const {signer, privateKey} of testSigners) {
		if (signers.includes(signer)) {
			const key = parsePrivateKey(privateKey).unwrap();
			signed = signManifest(signed, signer, key);
		}
	}

	const parts = new Map(
		split.parts.map(({digest, text}) => [digest, text] as const),
	);
	return {signed, parts};
}

function getText({
	version,
	slots = 4,
	isWestOut = false,
}: TestBundleOptions): string {
	return `
version = ${version}
dataCentres = [{id = "east", state = "in"}, {id = "west", state = "${isWestOut ? 'out' : 'in'}"}]
${getService('reading', 4)}
${getService('archive', slots)}
`;
}

function getService(name: string, slots: number): string {
	return `
[[services]]
name = "${name}"
idempotency = "by-method"
classes = [{name = "reader", weight = 1}]
limits = {queueLength = 10, queueTimeMs = 100, timeoutMs = 1000, bodyBytes = 1000}
retry = {share = 0.1, attempts = 2}
measuring = {callsPerSecond = 5, bytesPerSecond = 1000}
targets = [{id = "${name}-1", address = "127.0.0.1", port = 8001, dataCentre = "east", slots = ${slots}, connections = 220, coldAllowance = 1}]
`;
}

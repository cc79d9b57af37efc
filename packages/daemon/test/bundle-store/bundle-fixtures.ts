/** Small signed bundles for the tests of the store. */

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

/** What a fixture is made from. */
export type BundlePlan = {
	readonly version: number;
	/** Tells contents of one version apart. */
	readonly slots?: number;
	readonly signers?: readonly string[];
	readonly out?: boolean;
};

/** A signed bundle and its parts. */
export type SignedBundle = {
	readonly signed: SignedManifest;
	readonly parts: ReadonlyMap<Digest, string>;
};

const operators = ['ana', 'bat', 'cid', 'eve'].map((signer) => ({
	signer: makeId<SignerName>(signer),
	...generateKeyPair(),
}));

/**
 * Makes a policy that needs two signers.
 *
 * @param names - The trusted signers.
 * @returns The policy.
 */
export function makeTrust(
	names: readonly string[] = ['ana', 'bat', 'cid'],
): TrustPolicy {
	return {
		threshold: 2,
		keys: operators
			.filter(({signer}) => names.includes(signer))
			.map(({signer, publicKey}) => ({
				signer,
				publicKey: parsePublicKey(publicKey).unwrap(),
			})),
	};
}

/**
 * Makes a signed bundle with two services.
 *
 * @param plan - Its version, content and signers.
 * @returns The bundle in its published form.
 */
export function makeSigned(plan: BundlePlan): SignedBundle {
	const {signers = ['ana', 'bat']} = plan;
	const split = splitBundle(parseBundle(getText(plan), 'b.toml').unwrap());
	let signed: SignedManifest = {manifest: split.manifest, signatures: []};
	for (const {signer, privateKey} of operators) {
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

function getText({version, slots = 4, out = false}: BundlePlan): string {
	return `
version = ${version}
dataCentres = [{id = "east", state = "in"}, {id = "west", state = "${out ? 'out' : 'in'}"}]
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

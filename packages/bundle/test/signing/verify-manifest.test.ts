import {makeId, type SignerName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	generateKeyPair,
	joinBundle,
	parseBundle,
	parsePrivateKey,
	parsePublicKey,
	signManifest,
	splitBundle,
	verifyManifest,
	type SignedManifest,
} from '../../src/index.js';
import {smallBundleText} from '../fixtures.js';

const names = ['ana', 'bat', 'cid'].map((name) => makeId<SignerName>(name));
const pairs = names.map((signer) => ({signer, ...generateKeyPair()}));
const policy = {
	keys: pairs.map(({signer, publicKey}) => ({
		signer,
		publicKey: parsePublicKey(publicKey).unwrap(),
	})),
	threshold: 2,
};
const split = splitBundle(parseBundle(smallBundleText, 'b.toml').unwrap());

describe('verifyManifest', () => {
	const doTest = (
		signers: readonly number[],
		expected: boolean,
		change: (signed: SignedManifest) => SignedManifest = (signed) => signed,
	) => {
		let signed: SignedManifest = {manifest: split.manifest, signatures: []};
		for (const index of signers) {
			const {signer, privateKey} = pairs[index]!;
			const key = parsePrivateKey(privateKey).unwrap();
			signed = signManifest(signed, signer, key);
		}

		assert.is(verifyManifest(change(signed), policy).isOk(), expected);
	};

	it('accepts the required number of signers', () => {
		doTest([0, 2], true);
	});

	it('rejects too few signers', () => {
		doTest([1], false);
		doTest([], false);
	});

	it('counts each signer once', () => {
		doTest([1], false, (signed) => ({
			...signed,
			signatures: [...signed.signatures, ...signed.signatures],
		}));
	});

	it('rejects a changed manifest', () => {
		doTest([0, 1, 2], false, (signed) => ({
			...signed,
			manifest: {...signed.manifest, distances: []},
		}));
	});
});

describe('joinBundle', () => {
	it('restores a bundle from its split form', () => {
		const texts = new Map(
			split.parts.map(({digest, text}) => [digest, text] as const),
		);
		const joined = joinBundle(split.manifest, (digest) => texts.get(digest));
		assert.equal(splitBundle(joined.unwrap()), split);
	});

	it('rejects a changed or missing part', () => {
		const changed = joinBundle(split.manifest, () => '{}');
		assert.match(changed.unwrapErr().join(','), 'digest');
		const missing = joinBundle(split.manifest, () => undefined);
		assert.match(missing.unwrapErr().join(','), 'missing');
	});
});

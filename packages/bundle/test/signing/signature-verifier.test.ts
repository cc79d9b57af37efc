import {makeId, type SignerName} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	generateKeyPair,
	getDigest,
	makeCachedVerifier,
	parsePublicKey,
	type TrustedKey,
} from '../../src/index.js';

function makeKey(): TrustedKey {
	return {
		signer: makeId<SignerName>('ana'),
		publicKey: parsePublicKey(generateKeyPair().publicKey).unwrap(),
	};
}

describe('makeCachedVerifier', () => {
	const doTest = (
		calls: ReadonlyArray<readonly [string, string, TrustedKey]>,
		expected: number,
		capacity?: number,
	) => {
		let count = 0;
		const verifier = makeCachedVerifier(() => {
			count++;
			return true;
		}, capacity);
		for (const call of calls) {
			const [text, signature, trustedKey] = call;
			verifier({text, digest: getDigest(text)}, signature, trustedKey);
		}

		assert.is(count, expected);
	};

	const key = makeKey();

	it('verifies the same signature only once', () => {
		doTest(
			[
				['text', 's1', key],
				['text', 's1', key],
			],
			1,
		);
	});

	it('distinguishes contents, signatures and keys with the same signer name', () => {
		doTest(
			[
				['text', 's1', key],
				['other', 's1', key],
				['text', 's2', key],
				['text', 's1', makeKey()],
			],
			4,
		);
	});

	it('evicts the oldest result when the capacity is exceeded', () => {
		doTest(
			[
				['a', 's', key],
				['b', 's', key],
				['a', 's', key],
			],
			3,
			1,
		);
	});
});

/** The schema of the trusted keys in settings and trust files. */

import {makeId, type SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {parsePublicKey, type TrustPolicy} from './signer-key.js';

const trustedKeySchema = z.strictObject({
	signer: z
		.string()
		.min(1)
		.transform((value) => makeId<SignerName>(value)),
	publicKey: z.string().min(1),
});

/** The schema of the trusted keys and the signature threshold. */
export const trustSchema = z.strictObject({
	threshold: z.int().positive(),
	keys: z.array(trustedKeySchema).min(1),
});

/**
 * Parses the keys of a validated trust document.
 *
 * @param trust - The validated document.
 * @param prefix - Put before the key in each error message, such as `trust.toml: `.
 * @returns The trust policy, or one message per error.
 */
export function parseTrustPolicy(
	trust: z.infer<typeof trustSchema>,
	prefix: string,
): Result<TrustPolicy, readonly string[]> {
	const {keys, threshold} = trust;
	const errors: string[] = [];
	const trustedKeys = keys.flatMap(({signer, publicKey}) => {
		const key = parsePublicKey(publicKey);
		if (key.isErr()) {
			errors.push(`${prefix}keys: "${signer}" ${key.error}`);
			return [];
		}

		return [{signer, publicKey: key.value}];
	});
	const signers = new Set(keys.map(({signer}) => signer));
	if (threshold > signers.size) {
		errors.push(
			`${prefix}threshold: ${threshold} signers are required, but only ${signers.size} are listed`,
		);
	}

	return errors.length > 0 ? Err(errors) : Ok({keys: trustedKeys, threshold});
}

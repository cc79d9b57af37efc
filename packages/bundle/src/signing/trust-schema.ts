/** The trusted keys, as settings and trust files state them. */

import {makeId, type SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {parsePublicKey, type TrustPolicy} from './signer-key.js';

const keySchema = z.strictObject({
	signer: z
		.string()
		.min(1)
		.transform((value) => makeId<SignerName>(value)),
	publicKey: z.string().min(1),
});

/** The shape of the trusted keys. */
export const trustSchema = z.strictObject({
	threshold: z.int().positive(),
	keys: z.array(keySchema).min(1),
});

/**
 * Reads the keys of a checked statement of trust.
 *
 * @param trust - The statement.
 * @param label - Names the file and the key of the statement in messages.
 * @returns The keys and how many must sign, or every fault that was found.
 */
export function readTrust(
	trust: z.infer<typeof trustSchema>,
	label: string,
): Result<TrustPolicy, readonly string[]> {
	const {keys, threshold} = trust;
	const faults: string[] = [];
	const trusted = keys.flatMap(({signer, publicKey}) => {
		const key = parsePublicKey(publicKey);
		if (key.isErr()) {
			faults.push(`${label}keys: "${signer}" ${key.error}`);
			return [];
		}

		return [{signer, publicKey: key.value}];
	});
	const signers = new Set(keys.map(({signer}) => signer));
	if (threshold > signers.size) {
		faults.push(
			`${label}threshold: ${threshold} signers are needed but only ${signers.size} are named`,
		);
	}

	return faults.length > 0 ? Err(faults) : Ok({keys: trusted, threshold});
}

/** Reads the trusted keys from a trust file or from the settings of a host. */

import {
	describeIssues,
	parseToml,
	parseTrustPolicy,
	trustSchema,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {UsageError} from '../output/usage-error.js';
import {readTextFileOrThrow} from './read-text-file.js';

/**
 * Reads the trust policy.
 *
 * @param file - A TOML file with `threshold` and `keys`, at the top level or in the `trust` table.
 * @returns The trusted keys and the number of signatures required.
 * @throws UsageError if the file cannot be read or is invalid.
 */
export function readTrustPolicyOrThrow(file: string): TrustPolicy {
	const document = parseToml(readTextFileOrThrow(file), file);
	if (document.isErr()) {
		throw new UsageError(document.error);
	}

	const root = document.value as {readonly trust?: unknown};
	const trustTable = root.trust ?? root;
	const parsed = trustSchema.safeParse(trustTable);
	if (!parsed.success) {
		throw new UsageError(
			describeIssues(file, parsed.error, trustTable).join('\n'),
		);
	}

	const trust = parseTrustPolicy(parsed.data, `${file}: `);
	if (trust.isErr()) {
		throw new UsageError(trust.error.join('\n'));
	}

	return trust.value;
}

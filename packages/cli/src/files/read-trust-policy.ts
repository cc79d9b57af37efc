/** Reads the trusted keys, from a file of their own or from a host's settings. */

import {
	describeIssues,
	parseToml,
	readTrust,
	trustSchema,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {UsageError} from '../output/usage-error.js';
import {readTextFileOrThrow} from './read-text-file.js';

/**
 * Reads the trusted keys.
 *
 * @param file - A TOML file with `threshold` and `keys`, at its top or under `trust`.
 * @returns The keys and how many must sign.
 * @throws UsageError if the file cannot be used.
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

	const trust = readTrust(parsed.data, `${file}: `);
	if (trust.isErr()) {
		throw new UsageError(trust.error.join('\n'));
	}

	return trust.value;
}

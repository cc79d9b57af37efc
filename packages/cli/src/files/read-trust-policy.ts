/** Reads the trusted keys, from a file of their own or from a host's settings. */

import {
	describeIssues,
	parseToml,
	readTrust,
	trustSchema,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import {UsageError} from '../output/usage-error.js';
import {readTextOrThrow} from './read-text-file.js';

/**
 * Reads the trusted keys.
 *
 * @param file - A TOML file with `threshold` and `keys`, at its top or under `trust`.
 * @returns The keys and how many must sign.
 * @throws UsageError if the file cannot be used.
 */
export function readTrustOrThrow(file: string): TrustPolicy {
	const document = parseToml(readTextOrThrow(file), file);
	if (document.isErr()) {
		throw new UsageError(document.error);
	}

	const whole = document.value as {readonly trust?: unknown};
	const stated = whole.trust ?? whole;
	const checked = trustSchema.safeParse(stated);
	if (!checked.success) {
		throw new UsageError(
			describeIssues(file, checked.error, stated).join('\n'),
		);
	}

	const trust = readTrust(checked.data, `${file}: `);
	if (trust.isErr()) {
		throw new UsageError(trust.error.join('\n'));
	}

	return trust.value;
}

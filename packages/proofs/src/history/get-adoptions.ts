/** Extracts bundle adoptions from the audit entries. */

import type {AuditEntry} from './history.js';

/** One host's adoption of a bundle. */
export type BundleAdoption = {
	readonly version: number;
	readonly auditEntry: AuditEntry;
};

const adoptedVersionPattern = /^version (\d+)/v;

/**
 * Gets the bundle adoptions of all hosts.
 *
 * @param auditEntries - The audit entries of all hosts.
 * @returns The adoptions, in the order of the entries.
 */
export function getAdoptions(
	auditEntries: readonly AuditEntry[],
): BundleAdoption[] {
	return auditEntries
		.filter(({kind}) => kind === 'bundle-adopted')
		.map((auditEntry) => ({
			version: Number(adoptedVersionPattern.exec(auditEntry.subject)?.[1]),
			auditEntry,
		}));
}

/** Reads from the audit trail which bundles came into force. */

import type {AuditEntry} from './history.js';

/** A bundle that came into force in one host. */
export type BundleAdoption = {
	readonly version: number;
	readonly audit: AuditEntry;
};

const versionPattern = /^version (\d+)/v;

/**
 * Gets the bundles that came into force.
 *
 * @param audits - The audit trails.
 * @returns The adoptions in the order of the records.
 */
export function getAdoptions(audits: readonly AuditEntry[]): BundleAdoption[] {
	return audits
		.filter(({kind}) => kind === 'bundle-adopted')
		.map((audit) => ({
			version: Number(versionPattern.exec(audit.subject)?.[1]),
			audit,
		}));
}

/** The entry host as a library, for tests, benchmarks and operators' commands. */

export {EntryHost, type EntryHostOptions} from './context/entry-host.js';
export {
	loadSettings,
	parseSettings,
	type LoadedSettings,
} from './settings/load-settings.js';
export type {Settings} from './settings/settings.js';
export {AuditTrail, type AuditRecord} from './audit/audit-trail.js';
export {verifyAuditTrail} from './audit/verify-audit-trail.js';
export {
	makeOperatorServer,
	type HostStatus,
} from './operators/operator-server.js';

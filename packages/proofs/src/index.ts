/** The history checker, the faults and the golden files. */

export type {
	Absence,
	AuditEntry,
	History,
	Roll,
	Shutdown,
	Span,
	TargetSite,
} from './history/history.js';
export {inForceWithinMs, type Breach, type Rule} from './rules/breach.js';
export {checkHistory} from './rules/check-history.js';
export {RecordedRun} from './run/recorded-run.js';
export {makeProofLoad, usualResending} from './run/proof-load.js';
export {readGoldenFile, writeGoldenFile} from './golden/golden-file.js';
export {playSession, sessions, type SessionScript} from './golden/sessions.js';

/** History checking, fault injection and golden-file sessions. */

export type {
	Outage,
	AuditEntry,
	History,
	Rollout,
	Shutdown,
	TimeSpan,
	TargetDataCentre,
} from './history/history.js';
export {
	maxActivationDelayMs,
	type Violation,
	type Rule,
} from './rules/violation.js';
export {checkHistory} from './rules/check-history.js';
export {RecordedRun} from './run/recorded-run.js';
export {
	makeFaultTestLoad,
	defaultRetryPolicy,
} from './run/make-fault-test-load.js';
export {readGoldenFile, writeGoldenFile} from './golden/golden-file.js';
export {runSession, sessions, type SessionScript} from './golden/sessions.js';

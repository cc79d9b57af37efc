/** The types and utilities shared by all packages: ids, clocks, errors, random numbers and protocol names. */

export type {Branded} from './ids/branded.js';
export type * from './ids/ids.js';
export {makeId} from './ids/make-id.js';
export type {CancelFunction, Clock} from './clock/clock.js';
export {systemClock} from './clock/system-clock.js';
export {ManualClock} from './clock/manual-clock.js';
export {errorKinds, type ErrorKind} from './errors/error-kind.js';
export type {RunState} from './errors/run-state.js';
export {
	notRunFailure,
	possiblyRunFailure,
	type Failure,
} from './errors/failure.js';
export {errorResponses, type ErrorResponse} from './errors/error-responses.js';
export {makeSeededRandom, type RandomSource} from './random/random-source.js';
export {callerHeaders, targetHeaders} from './protocol/header-names.js';
export {
	getPartValueName,
	manifestValueName,
} from './protocol/platform-names.js';
export {
	auditKinds,
	type AuditEvent,
	type AuditKind,
	type AuditSink,
} from './audit/audit-event.js';
export {
	ProgressLimit,
	type ProgressLimitOptions,
	type TransferPace,
} from './transfer/progress-limit.js';
export {
	limitTransfer,
	type LimitedTransfer,
} from './transfer/limit-transfer.js';
export {TransferPatience} from './transfer/transfer-patience.js';

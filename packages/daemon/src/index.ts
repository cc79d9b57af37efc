/** The entry host as a library, for tests and benchmarks. */

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
export type {CallerProtocol} from './http/caller-protocol.js';
export {makeCallerServer} from './http/caller-server.js';
export {getForwardedHeaders} from './http/forwarded-headers.js';
export {getRequestSignature} from './dispatch/request-signature.js';
export {
	makeLogger,
	type Log,
	type LogOptions,
} from './logging/make-logger.js';
export type {
	Answer,
	Exchange,
	FilterResult,
	IncomingCall,
} from './pipeline/exchange.js';
export {BodyReader} from './pipeline/filters/read-body.js';
export {Connection} from './upstream/connection.js';
export {TargetRequest, type TargetAnswer} from './upstream/target-request.js';

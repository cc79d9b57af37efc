/** The HTTP components that the gateway package reuses; they depend on no settings, bundles or peers. */

export type {CallerProtocol} from './http/caller-protocol.js';
export {
	makeCallerListener,
	type CallerListener,
	type CallerListenerOptions,
} from './http/caller-listener.js';
export {makeShutdownFailure} from './http/make-shutdown-failure.js';
export {getProblemAnswer} from './http/problem-answer.js';
export type {OpenRequest, OpenRequestPhase} from './http/open-request.js';
export {getForwardedHeaders} from './http/forwarded-headers.js';
export {waitForPendingIo} from './http/wait-for-pending-io.js';
export {answeredShare} from './dispatch/answered-share.js';
export {RecentDurations} from './dispatch/recent-durations.js';
export {getRequestSignature} from './dispatch/request-signature.js';
export {
	Exchange,
	type Answer,
	type FilterResult,
	type IncomingCall,
	type SentCopy,
} from './pipeline/exchange.js';
export {BodyReader} from './pipeline/filters/read-body.js';
export {
	ByteBudget,
	processByteBudget,
	type ByteLease,
} from './buffers/byte-budget.js';
export {ByteCollector} from './buffers/byte-collector.js';
export {Connection} from './upstream/connection.js';
export {
	type ResponseFlood,
	ResponseFloodError,
	type ResponseFloodKind,
} from './upstream/response-flood.js';
export {TargetRequest, type TargetAnswer} from './upstream/target-request.js';

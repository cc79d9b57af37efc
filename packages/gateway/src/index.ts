/** The gateway: routing, choice of targets by probing, limits and the published snapshot. */

export {
	defaultAllotmentBound,
	type AllotmentBound,
} from './accounts/allotment-tolerance.js';
export type {CallerProtocol} from '@bilberryscale/daemon/edge';
export {AccountDirectory} from './accounts/account-directory.js';
export {getKeyDigest} from './accounts/get-key-digest.js';
export {GatewayHost, type GatewayHostOptions} from './context/gateway-host.js';
export type {HedgingOptions} from './context/make-hedged-dispatcher.js';
export type {Endpoint, GatewaySettings} from './context/gateway-settings.js';
export {TextClient, type TextClientOptions} from './edge/text-client.js';
export {
	unconfirmedAgeMs,
	type ItemDecoder,
	type ItemPreparation,
	type PublishedChange,
	type PublishedChanges,
	type ItemContent,
	type SnapshotSource,
	type StorePosition,
	type ReadError,
} from './snapshot/snapshot-source.js';
export {PeerReader, type PeerReaderOptions} from './fleet/peer-reader.js';
export {checkPlan, type PlanCheckContext} from './plan/plan-check.js';
export {diffPlans, type PlanDifference} from './plan/plan-difference.js';
export type {PlanEntry, PlanField, PlanValue} from './plan/plan-entry.js';
export {
	findingKinds,
	type FindingKind,
	type FindingSeverity,
	type PlanFinding,
} from './plan/plan-finding.js';
export type {
	RegisteredTarget,
	TargetIncarnation,
} from './plan/registered-target.js';
export type {ClientAccount, ClientAccountName} from './plan/client-account.js';
export type {
	CallerLimits,
	PlanVersion,
	Route,
	RouteName,
	WeightedService,
	RoutingPlan,
	ServicePlan,
} from './plan/routing-plan.js';
export {isHostAddress} from './fleet/is-host-address.js';
export {loadHistogram} from './hedging/load-histogram.js';
export {EventLog} from './records/event-log.js';
export {LineWriter} from './records/line-writer.js';
export type {AvailabilityNotice} from './targets/target-availability.js';
export type {TargetProtocol} from './targets/target-protocol.js';
export type {HealthReport, LoadReport} from './targets/load-report.js';
export {defaultWarmUpBound, type WarmUpBound} from './warm-up/warm-up-bound.js';

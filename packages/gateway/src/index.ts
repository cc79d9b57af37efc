/** The gateway: routing, choice of targets by probing, limits and the published snapshot. */

export type {CallerProtocol} from '@bilberryscale/daemon/edge';
export {GatewayHost, type GatewayHostOptions} from './context/gateway-host.js';
export type {Endpoint, GatewaySettings} from './context/gateway-settings.js';
export {TextClient, type TextClientOptions} from './edge/text-client.js';
export type {
	FactDecoder,
	PublishedChange,
	PublishedChanges,
	PublishedFact,
	PublishedReader,
	ReadFault,
} from './snapshot/snapshot-source.js';
export type {ListedTarget, TargetLife} from './plan/registered-target.js';
export type {
	CallerLimits,
	PlanVersion,
	Route,
	RouteName,
	RoutePart,
	RoutingPlan,
	ServicePlan,
} from './plan/routing-plan.js';
export {EventLog} from './records/event-log.js';
export {LineWriter} from './records/line-writer.js';
export type {TargetProtocol} from './targets/target-protocol.js';
export type {HealthReport, TargetReport} from './targets/load-report.js';

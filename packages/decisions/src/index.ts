/** Load balancing, admission control and retry limits for calls to targets. */

export type {LoadReport} from './target/load-report.js';
export type {Outcome, OutcomeKind} from './target/outcome.js';
export {TargetState} from './target/target-state.js';
export {ServiceAverages} from './target/service-averages.js';
export {ColdStart} from './target/cold-start.js';
export {TargetHealth, type HealthState} from './target/target-health.js';
export {ConcurrencyLimit} from './target/concurrency-limit.js';
export type {TargetEntry, ServicePlan} from './target/target-entries.js';
export {TargetPool, type TargetPoolOptions} from './target/target-pool.js';
export {
	getHostShare,
	singleHostFleet,
	type FleetView,
} from './fleet/fleet-view.js';
export type {
	SelectionContext,
	SelectionPolicy,
} from './choice/selection-policy.js';
export {
	chooseOfTwoByOutstanding,
	chooseOfTwoByReportedLoad,
} from './choice/two-choices.js';
export {chooseRandom} from './choice/random.js';
export {makeRoundRobin} from './choice/round-robin.js';
export {chooseLeastOutstanding} from './choice/least-outstanding.js';
export {
	getExpectedLatencyMs,
	makeLeastCost,
	type LeastCostOptions,
} from './choice/least-cost.js';
export {
	selectionPolicyNames,
	makeSelectionPolicy,
	type SelectionPolicyName,
} from './choice/selection-policies.js';
export type {
	Call,
	Decision,
	Grant,
	OfferResult,
	Refusal,
	Settlement,
	Wait,
} from './dispatch/call.js';
export {FairQueue} from './dispatch/fair-queue.js';
export {StartTags} from './dispatch/start-tags.js';
export {
	CrashSuspects,
	type CrashIncident,
	type CrashSuspect,
} from './crash/crash-suspects.js';
export {RetryBudget} from './retry/retry-budget.js';
export {
	ServiceDispatcher,
	type ServiceDispatcherOptions,
} from './dispatch/service-dispatcher.js';

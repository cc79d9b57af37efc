/** The decisions about calls: which target, how many, when to refuse. */

export type {LoadReport} from './target/load-report.js';
export type {Outcome, OutcomeKind} from './target/outcome.js';
export {TargetState} from './target/target-state.js';
export {ServiceAverages} from './target/service-averages.js';
export {ColdStart} from './target/cold-start.js';
export {TargetHealth, type HealthState} from './target/target-health.js';
export {TargetLimit} from './target/target-limit.js';
export type {RosterEntry, ServicePlan} from './target/roster-entries.js';
export {
	TargetRoster,
	type TargetRosterOptions,
} from './target/target-roster.js';
export {getFleetShare, loneFleet, type FleetView} from './fleet/fleet-view.js';
export type {ChoiceContext, TargetChoice} from './choice/target-choice.js';
export {chooseOfTwo, chooseOfTwoByReport} from './choice/two-choices.js';
export {chooseAtRandom} from './choice/random-choice.js';
export {makeRoundRobin} from './choice/round-robin.js';
export {chooseLeastOutstanding} from './choice/least-outstanding.js';
export {
	getExpectedMs,
	makeLeastCost,
	type LeastCostOptions,
} from './choice/least-cost.js';
export {
	choiceNames,
	makeChoice,
	type ChoiceName,
} from './choice/choice-names.js';
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

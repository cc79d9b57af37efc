/** Experiments that compare target selection policies on a cluster of real processes. */

export type {
	Scenario,
	ScenarioLoad,
	ScenarioStep,
} from './scenario/scenario.js';
export {
	makeScenario,
	scenarioNames,
	type ScenarioName,
} from './scenario/scenarios.js';
export {
	comparePolicies,
	runExperiment,
	type ExperimentOptions,
	type PolicyResult,
	type Spread,
} from './run/run-experiment.js';
export {runOnce, type RunOptions} from './run/run-once.js';
export type {RunSummary, ServiceResult, TimeBin} from './run/run-summary.js';

/** Experiments that compare policies on real processes. */

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
	compare,
	runExperiment,
	type ExperimentPlan,
	type PolicyResult,
	type Spread,
} from './run/experiment.js';
export {runOnce, type RunPlan} from './run/run-once.js';
export type {RunSummary, ServiceResult, TimeBin} from './run/run-summary.js';

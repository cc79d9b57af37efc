/** What an experiment does to a deployment. */

import type {Deployment, SlowTarget} from '@bilberryscale/standins';

/** A change of the data centres in the course of a run. */
export type Roll = {
	readonly atMs: number;
	/** The data centres that are out from then on. */
	readonly out: readonly string[];
};

/** The load on one service. */
export type ScenarioLoad = {
	readonly service: string;
	/** The calls as a multiple of what the slots of all targets carry. */
	readonly utilisation: number;
	/** The class of the callers, by its place in the service's list. */
	readonly classIndex: number;
};

/** A scenario for one deployment. */
export type Scenario = {
	readonly deployment: Deployment;
	readonly loads: readonly ScenarioLoad[];
	readonly slowTargets: readonly SlowTarget[];
	readonly rolls: readonly Roll[];
	readonly durationMs: number;
};

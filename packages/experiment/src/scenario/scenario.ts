/** What an experiment does to a deployment. */

import type {Cluster, Deployment} from '@bilberryscale/standins';

/** Something that happens in the course of a run. */
export type ScenarioStep = {
	/** When, from the start of the load, in milliseconds. */
	readonly atMs: number;
	readonly act: (cluster: Cluster) => void | Promise<void>;
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
	/** The steps in the order of their times. */
	readonly steps: readonly ScenarioStep[];
	readonly durationMs: number;
};

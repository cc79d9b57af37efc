/** Types that describe the load and the faults of an experiment. */

import type {Cluster, Deployment} from '@bilberryscale/standins';

/** An action at a fixed time of a run, such as injecting a fault. */
export type ScenarioStep = {
	/** Time since the start of the load, in milliseconds. */
	readonly atMs: number;
	readonly apply: (cluster: Cluster) => void | Promise<void>;
};

/** Load that one class of callers puts on a service. */
export type ScenarioLoad = {
	readonly service: string;
	/** Call rate as a multiple of the capacity of all slots of the service. */
	readonly utilisation: number;
	/** Index of the caller class in the service's list of classes. */
	readonly classIndex: number;
};

/** Deployment, load and steps of an experiment. */
export type Scenario = {
	readonly deployment: Deployment;
	readonly loads: readonly ScenarioLoad[];
	/** Steps in ascending order of `atMs`. */
	readonly steps: readonly ScenarioStep[];
	readonly durationMs: number;
};

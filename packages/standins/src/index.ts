/** The stand-ins for everything around the system, and the load tool. */

export {
	AddressPlan,
	ports,
	type Endpoint,
	type EntryPlace,
	type TargetPlace,
} from './deployment/address-plan.js';
export {
	getDeploymentOrThrow,
	type DeployedService,
	type Deployment,
} from './deployment/deployment.js';
export {makeBundle, type BundlePlan} from './deployment/make-bundle.js';
export {
	PlatformStandin,
	type StandinHost,
} from './platform/platform-standin.js';
export {
	makeTargets,
	type SlowTarget,
	type TargetsPlan,
} from './target/make-targets.js';
export {
	TargetStandin,
	type TargetStandinOptions,
} from './target/target-standin.js';
export {readRunLog, RunLog, type RunRecord} from './target/run-log.js';
export type {
	BalancedEntry,
	CallRecord,
	LoadPlan,
	ServiceLoad,
} from './load/load-plan.js';
export {runLoad, type CallSink} from './load/run-load.js';
export {Cluster, type ClusterOptions} from './cluster/cluster.js';
export {Child} from './cluster/child.js';
export {OperatorDesk} from './cluster/operator-desk.js';
export {
	countRunTwice,
	summarise,
	type ServiceSummary,
} from './cluster/summary.js';

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
export {makeBundle, type BundleOptions} from './deployment/make-bundle.js';
export {
	PlatformStandin,
	type PlatformRead,
	type StandinHost,
} from './platform/platform-standin.js';
export {makeTargets, type TargetsPlan} from './target/make-targets.js';
export {TargetStandin} from './target/target-standin.js';
export type {TargetStandinOptions} from './target/target-standin-options.js';
export {
	readRunLog,
	RunLog,
	type RunEvent,
	type RunRecord,
} from './target/run-log.js';
export {
	usualBehaviour,
	type LoadReporting,
	type SourceLink,
	type StallPattern,
	type TargetAction,
	type TargetBehaviour,
	type TargetCounters,
} from './target/behaviour.js';
export {loadPath} from './target/load-reports.js';
export {TargetsControl} from './target/targets-control.js';
export {makeTargetsControlServer} from './target/targets-control-server.js';
export type {
	BalancedEntry,
	CallRecord,
	LoadPlan,
	Resending,
	ServiceLoad,
} from './load/load-plan.js';
export {runLoad, type CallRecordListener} from './load/run-load.js';
export {Cluster, type ClusterOptions} from './cluster/cluster.js';
export {Child} from './cluster/managed-process.js';
export {
	getEntrySettings,
	type EntrySettingsOptions,
} from './cluster/entry-settings.js';
export {OperatorDesk} from './cluster/bundle-publisher.js';
export {
	countRepeatedRuns,
	summarise,
	type ServiceSummary,
} from './cluster/summarise-calls.js';
export {
	CertificateDesk,
	type CertificateFiles,
} from './cluster/certificates.js';

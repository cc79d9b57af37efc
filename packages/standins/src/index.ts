/** Simulated targets and platform, the cluster that runs them with real hosts, and load generation. */

export {
	AddressPlan,
	ports,
	type Endpoint,
	type EntryLocation,
	type TargetLocation,
} from './deployment/address-plan.js';
export {
	getDeploymentOrThrow,
	type DeployedService,
	type Deployment,
} from './deployment/deployment.js';
export {makeBundle, type BundleOptions} from './deployment/make-bundle.js';
export {
	SimulatedPlatform,
	type PlatformRead,
	type PublishedHost,
} from './platform/simulated-platform.js';
export {makeTargets, type TargetsOptions} from './target/make-targets.js';
export {SimulatedTarget} from './target/simulated-target.js';
export type {SimulatedTargetOptions} from './target/simulated-target-options.js';
export {
	readRunLog,
	RunLog,
	type RunEvent,
	type RunRecord,
} from './target/run-log.js';
export {
	defaultBehaviour,
	type LoadReporting,
	type SourceLink,
	type StallPattern,
	type TargetAction,
	type TargetBehaviour,
	type TargetCounters,
} from './target/target-behaviour.js';
export {loadPath} from './target/load-reporter.js';
export {TargetsControlClient} from './target/targets-control-client.js';
export {makeTargetsControlServer} from './target/targets-control-server.js';
export type {
	BalancedEntry,
	CallRecord,
	LoadPlan,
	RetryPolicy,
	ServiceLoad,
} from './load/load-plan.js';
export {runLoad, type CallRecordListener} from './load/run-load.js';
export {Cluster, type ClusterOptions} from './cluster/cluster.js';
export {ManagedProcess} from './cluster/managed-process.js';
export {
	getEntrySettings,
	type EntrySettingsOptions,
} from './cluster/entry-settings.js';
export {BundlePublisher} from './cluster/bundle-publisher.js';
export {
	countRepeatedRuns,
	summariseCalls,
	type ServiceSummary,
} from './cluster/summarise-calls.js';
export {
	CertificateAuthority,
	type CertificateFiles,
} from './cluster/certificate-authority.js';

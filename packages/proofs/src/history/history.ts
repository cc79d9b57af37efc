/** The recorded history of a run, as input to the rules. */

import type {CallRecord, RunRecord} from '@bilberryscale/standins';

/** A record of an entry host's audit trail, read from its log. */
export type AuditEntry = {
	readonly host: string;
	readonly incarnation: string;
	readonly kind: string;
	readonly subject: string;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
};

/** A published version of the bundle. */
export type Rollout = {
	readonly version: number;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
	/** The data centres that this version drains. */
	readonly drainedDataCentres: readonly string[];
	/** The targets that this version no longer contains. */
	readonly removedTargets: readonly string[];
};

/** A time span, in milliseconds since the Unix epoch. */
export type TimeSpan = {
	readonly fromMs: number;
	readonly toMs: number;
};

/** A graceful shutdown of an entry host. */
export type Shutdown = TimeSpan & {
	readonly host: string;
	/** The base URL at which callers reach the host. */
	readonly entry: string;
	/** The exit code; undefined if a signal ended the process. */
	readonly exitCode: number | undefined;
};

/** A time span in which a host can't be expected to receive updates. */
export type Outage = TimeSpan & {
	readonly host: string;
};

/** The data centre of a target. */
export type TargetDataCentre = {
	readonly target: string;
	readonly dataCentre: string;
};

/** Everything recorded in a run. */
export type History = {
	/** The callers' records, one per attempt. */
	readonly calls: readonly CallRecord[];
	/** The lines of the targets' run logs. */
	readonly runs: readonly RunRecord[];
	readonly auditEntries: readonly AuditEntry[];
	readonly rollouts: readonly Rollout[];
	readonly shutdowns: readonly Shutdown[];
	readonly outages: readonly Outage[];
	readonly targetDataCentres: readonly TargetDataCentre[];
	readonly hosts: readonly string[];
	/** The end of the run, in milliseconds since the Unix epoch. */
	readonly endedAtMs: number;
};

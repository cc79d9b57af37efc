/** What a run recorded, as the rules read it. */

import type {CallRecord, RunRecord} from '@bilberryscale/standins';

/** A record of an entry host's audit trail, as its log has it. */
export type AuditEntry = {
	readonly host: string;
	readonly incarnation: string;
	readonly kind: string;
	readonly subject: string;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
};

/** A bundle that operators rolled. */
export type Roll = {
	readonly version: number;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
	/** The data centres that are out. */
	readonly out: readonly string[];
	/** The targets that were taken out of the bundle. */
	readonly leaving: readonly string[];
};

/** A span of time, in milliseconds since the Unix epoch. */
export type Span = {
	readonly fromMs: number;
	readonly toMs: number;
};

/** A graceful shutdown of an entry host. */
export type Shutdown = Span & {
	readonly host: string;
	/** The base URL of the host for callers. */
	readonly entry: string;
	/** The exit code; undefined after a signal. */
	readonly exitCode: number | undefined;
};

/** A time in which a host could not be expected to hear of anything. */
export type Absence = Span & {
	readonly host: string;
};

/** A target and where it stands. */
export type TargetSite = {
	readonly target: string;
	readonly dataCentre: string;
};

/** A whole run. */
export type History = {
	readonly calls: readonly CallRecord[];
	readonly runs: readonly RunRecord[];
	readonly audits: readonly AuditEntry[];
	readonly rolls: readonly Roll[];
	readonly shutdowns: readonly Shutdown[];
	readonly absences: readonly Absence[];
	readonly sites: readonly TargetSite[];
	readonly hosts: readonly string[];
	/** The end of the run. */
	readonly endedAtMs: number;
};

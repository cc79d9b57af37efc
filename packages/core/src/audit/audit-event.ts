/** What the audit trail records. */

/** Every kind of change that is audited. */
export const auditKinds = [
	'process-started',
	'settings-loaded',
	'bundle-seen',
	'bundle-adopted',
	'bundle-refused',
	'bundle-conflict',
	'data-centre-out',
	'data-centre-in',
	'member-joined',
	'member-left',
	'target-ejected',
	'target-restored',
	'target-cold',
	'request-barred',
	'tenure-won',
	'tenure-lost',
	'key-loaded',
	'shutdown-step',
] as const;

/** One of the kinds. */
export type AuditKind = (typeof auditKinds)[number];

/** One change, before it gets its place in the trail. */
export type AuditEvent = {
	readonly kind: AuditKind;
	/** What changed: a target, a data centre, a bundle version. */
	readonly subject: string;
	/** Why it changed, in one sentence. */
	readonly cause: string;
	/** The value before the change. */
	readonly former?: string;
	/** The value after the change. */
	readonly current?: string;
};

/** Takes an audited change. */
export type AuditSink = (event: AuditEvent) => void;

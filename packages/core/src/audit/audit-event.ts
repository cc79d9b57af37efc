/** The events recorded in the audit trail. */

/** All kinds of audit events. */
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

/** The kind of an audit event. */
export type AuditKind = (typeof auditKinds)[number];

/** A state change, before the audit trail assigns its sequence number. */
export type AuditEvent = {
	readonly kind: AuditKind;
	/** What changed, such as a target, a data centre or a bundle version. */
	readonly subject: string;
	/** The reason for the change, in one sentence. */
	readonly cause: string;
	/** The value before the change. */
	readonly former?: string;
	/** The value after the change. */
	readonly current?: string;
};

/** Records an audit event. */
export type AuditSink = (event: AuditEvent) => void;

/** The closed set of error kinds that are returned to callers. */

/** All error kinds, in the order in which processing a request can raise them. */
export const errorKinds = [
	'bad-request',
	'method-unsupported',
	'header-too-large',
	'body-too-large',
	'body-timeout',
	'service-unknown',
	'account-unknown',
	'account-rate-exceeded',
	'accounts-outdated',
	'class-unknown',
	'key-invalid',
	'key-conflict',
	'key-too-old',
	'key-from-future',
	'still-running',
	'outcome-unknown',
	'records-full',
	'no-tenure',
	'home-unreachable',
	'request-barred',
	'not-ready',
	'shutting-down',
	'over-capacity',
	'queue-timeout',
	'no-target',
	'target-refused',
	'target-unreachable',
	'target-failed',
	'deadline-exceeded',
	'internal',
] as const;

/** The kind of an error. */
export type ErrorKind = (typeof errorKinds)[number];

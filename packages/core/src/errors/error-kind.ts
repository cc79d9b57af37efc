/** The closed list of error kinds that a caller can meet. */

/** Every error kind, in the order of the request's way. */
export const errorKinds = [
	'bad-request',
	'method-unsupported',
	'header-too-large',
	'body-too-large',
	'body-timeout',
	'service-unknown',
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

/** One of the error kinds. */
export type ErrorKind = (typeof errorKinds)[number];

/** A finding in a routing plan. */

import type {PlanEntry, PlanField, PlanValue} from './plan-entry.js';

/** Whether requests certainly fail or are handled otherwise than stated (error), or may be (warning). */
export type FindingSeverity = 'error' | 'warning';

/** All kinds of findings. */
export const findingKinds = [
	'shadowed-route',
	'unmatchable-host',
	'unmatchable-prefix',
	'prefix-without-final-slash',
	'undefined-service',
	'zero-weights',
	'latency-target-over-timeout',
	'attempts-below-one',
	'attempts-over-retry-budget',
	'inverted-priority',
	'duplicate-service',
	'unused-service',
	'service-without-targets',
	'burst-below-one',
	'no-accounts',
	'account-without-keys',
	'repeated-key',
	'version-not-higher',
] as const;

/** What a finding is about. */
export type FindingKind = (typeof findingKinds)[number];

/** One finding: a field, the value seen there and what is allowed. */
export type PlanFinding = {
	readonly kind: FindingKind;
	readonly severity: FindingSeverity;
	readonly entry: PlanEntry;
	readonly field: PlanField;
	readonly value: PlanValue;
	/** The allowed values, in words. */
	readonly allowed: string;
};

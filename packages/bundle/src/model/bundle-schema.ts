/** The schemas of a bundle, both as written by operators and as published. */

import {
	makeId,
	type BundleVersion,
	type CallerClass,
	type DataCentreId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import {z} from 'zod';

const namePattern = /^[a-z\d][a-z\d\-]{0,62}$/v;
const nameSchema = z
	.string()
	.regex(
		namePattern,
		'must have 1 to 63 characters of a-z, 0-9 and -, and must not start with -',
	);
const positiveIntegerSchema = z.int().positive();
const maxPort = 65_535;

const dataCentreIdSchema = nameSchema.transform((value) =>
	makeId<DataCentreId>(value),
);
const serviceNameSchema = nameSchema.transform((value) =>
	makeId<ServiceName>(value),
);
const targetIdSchema = nameSchema.transform((value) => makeId<TargetId>(value));
const callerClassSchema = nameSchema.transform((value) =>
	makeId<CallerClass>(value),
);

/** The schema of a data centre. */
export const dataCentreSchema = z.strictObject({
	id: dataCentreIdSchema,
	state: z.enum(['in', 'out']),
});

/** The schema of a distance between two data centres. */
export const distanceSchema = z.strictObject({
	between: z.tuple([dataCentreIdSchema, dataCentreIdSchema]),
	delayMs: z.number().nonnegative(),
});

const callerClassShareSchema = z.strictObject({
	name: callerClassSchema,
	weight: z.number().positive(),
});

const targetSchema = z.strictObject({
	id: targetIdSchema,
	address: z.union([z.ipv4(), z.ipv6()], 'must be an IP address'),
	port: positiveIntegerSchema.max(maxPort),
	dataCentre: dataCentreIdSchema,
	slots: positiveIntegerSchema,
	connections: positiveIntegerSchema,
	coldAllowance: positiveIntegerSchema,
});

const serviceLimitsSchema = z.strictObject({
	queueLength: z.int().nonnegative(),
	queueTimeMs: positiveIntegerSchema,
	timeoutMs: positiveIntegerSchema,
	bodyBytes: positiveIntegerSchema,
});

const retryPolicySchema = z.strictObject({
	share: z.number().min(0).max(1),
	attempts: positiveIntegerSchema,
});

const probeBudgetSchema = z.strictObject({
	callsPerSecond: z.number().nonnegative(),
	bytesPerSecond: z.number().nonnegative(),
});

/** The schema of a service. */
export const serviceSchema = z.strictObject({
	name: serviceNameSchema,
	idempotency: z.enum(['by-method', 'all', 'none']),
	classes: z.array(callerClassShareSchema).min(1),
	limits: serviceLimitsSchema,
	retry: retryPolicySchema,
	measuring: probeBudgetSchema,
	targets: z.array(targetSchema),
});

/** The schema of a bundle version. */
export const versionSchema = positiveIntegerSchema.transform((value) =>
	makeId<BundleVersion>(value),
);

/** The schema of a bundle. */
export const bundleSchema = z.strictObject({
	version: versionSchema,
	dataCentres: z.array(dataCentreSchema).min(1),
	distances: z.array(distanceSchema).default([]),
	services: z.array(serviceSchema).min(1),
});

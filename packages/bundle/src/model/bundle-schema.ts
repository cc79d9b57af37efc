/** The shape of a bundle, as operators write it and as it is published. */

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
const name = z
	.string()
	.regex(namePattern, 'must be 1 to 63 of a-z, 0-9 and -, not starting with -');
const positiveInteger = z.int().positive();
const maxPort = 65_535;

const dataCentreId = name.transform((value) => makeId<DataCentreId>(value));
const serviceName = name.transform((value) => makeId<ServiceName>(value));
const targetId = name.transform((value) => makeId<TargetId>(value));
const callerClass = name.transform((value) => makeId<CallerClass>(value));

/** The shape of a data centre. */
export const dataCentreSchema = z.strictObject({
	id: dataCentreId,
	state: z.enum(['in', 'out']),
});

/** The shape of a distance. */
export const distanceSchema = z.strictObject({
	between: z.tuple([dataCentreId, dataCentreId]),
	delayMs: z.number().nonnegative(),
});

const callerClassShareSchema = z.strictObject({
	name: callerClass,
	weight: z.number().positive(),
});

const targetSchema = z.strictObject({
	id: targetId,
	address: z.union([z.ipv4(), z.ipv6()], 'must be an IP number'),
	port: positiveInteger.max(maxPort),
	dataCentre: dataCentreId,
	slots: positiveInteger,
	connections: positiveInteger,
	coldAllowance: positiveInteger,
});

const limitsSchema = z.strictObject({
	queueLength: z.int().nonnegative(),
	queueTimeMs: positiveInteger,
	timeoutMs: positiveInteger,
	bodyBytes: positiveInteger,
});

const retrySchema = z.strictObject({
	share: z.number().min(0).max(1),
	attempts: positiveInteger,
});

const measuringSchema = z.strictObject({
	callsPerSecond: z.number().nonnegative(),
	bytesPerSecond: z.number().nonnegative(),
});

/** The shape of a service. */
export const serviceSchema = z.strictObject({
	name: serviceName,
	idempotency: z.enum(['by-method', 'all', 'none']),
	classes: z.array(callerClassShareSchema).min(1),
	limits: limitsSchema,
	retry: retrySchema,
	measuring: measuringSchema,
	targets: z.array(targetSchema),
});

/** The shape of a version. */
export const versionSchema = positiveInteger.transform((value) =>
	makeId<BundleVersion>(value),
);

/** The shape of a whole bundle. */
export const bundleSchema = z.strictObject({
	version: versionSchema,
	dataCentres: z.array(dataCentreSchema).min(1),
	distances: z.array(distanceSchema).default([]),
	services: z.array(serviceSchema).min(1),
});

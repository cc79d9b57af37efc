/** The settings of an entry process. */

import {trustSchema} from '@bilberryscale/bundle';
import {makeId, type DataCentreId, type HostId} from '@bilberryscale/core';
import {selectionPolicyNames} from '@bilberryscale/decisions';
import {z} from 'zod';

const maxPort = 65_535;
const defaultHeaderBytes = 16_384;
const defaultLeaveMs = 2000;
const defaultShutdownMs = 30_000;
const defaultBodyIdleMs = 5000;

const ipNumber = z.union([z.ipv4(), z.ipv6()], 'must be an IP number');
const port = z.int().min(1).max(maxPort);
const endpoint = z.strictObject({address: ipNumber, port});

/** The shape of the settings file. */
export const settingsSchema = z.strictObject({
	host: z
		.string()
		.min(1)
		.transform((value) => makeId<HostId>(value)),
	dataCentre: z
		.string()
		.min(1)
		.transform((value) => makeId<DataCentreId>(value)),
	callers: endpoint,
	operators: z.strictObject({
		address: ipNumber,
		port,
		token: z.string().min(16, 'must have at least 16 characters'),
	}),
	peers: z
		.strictObject({
			address: ipNumber,
			port,
			certificate: z.string().min(1),
			key: z.string().min(1),
			authority: z.string().min(1),
		})
		.optional(),
	platform: z.strictObject({
		addresses: z.array(z.url()).min(1),
	}),
	trust: trustSchema,
	metrics: endpoint.optional(),
	logs: z
		.strictObject({
			level: z.enum(['debug', 'info', 'warn', 'error']),
		})
		.default({level: 'info'}),
	decisions: z
		.strictObject({choice: z.enum(selectionPolicyNames)})
		.default({choice: 'least-cost-3'}),
	limits: z
		.strictObject({
			headerBytes: z.int().positive().default(defaultHeaderBytes),
			bodyIdleMs: z.int().positive().default(defaultBodyIdleMs),
			leaveMs: z.int().nonnegative().default(defaultLeaveMs),
			shutdownMs: z.int().positive().default(defaultShutdownMs),
		})
		.default({
			headerBytes: defaultHeaderBytes,
			bodyIdleMs: defaultBodyIdleMs,
			leaveMs: defaultLeaveMs,
			shutdownMs: defaultShutdownMs,
		}),
});

/** The checked settings. */
export type Settings = z.infer<typeof settingsSchema>;

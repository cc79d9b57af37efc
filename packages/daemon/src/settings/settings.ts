/** The settings of an entry process. */

import {trustSchema} from '@bilberryscale/bundle';
import {makeId, type DataCentreId, type HostId} from '@bilberryscale/core';
import {selectionPolicyNames} from '@bilberryscale/decisions';
import {z} from 'zod';

const maxPort = 65_535;
const defaultMaxHeaderBytes = 16_384;
const defaultLeaveDelayMs = 2000;
const defaultShutdownTimeoutMs = 30_000;
const defaultBodyIdleTimeoutMs = 5000;

const ipAddress = z.union([z.ipv4(), z.ipv6()], 'must be an IP address');
const port = z.int().min(1).max(maxPort);
const endpoint = z.strictObject({address: ipAddress, port});

/** The schema of the settings file. */
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
		address: ipAddress,
		port,
		token: z.string().min(16, 'must have at least 16 characters'),
	}),
	peers: z
		.strictObject({
			address: ipAddress,
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
			headerBytes: z.int().positive().default(defaultMaxHeaderBytes),
			bodyIdleMs: z.int().positive().default(defaultBodyIdleTimeoutMs),
			leaveMs: z.int().nonnegative().default(defaultLeaveDelayMs),
			shutdownMs: z.int().positive().default(defaultShutdownTimeoutMs),
		})
		.default({
			headerBytes: defaultMaxHeaderBytes,
			bodyIdleMs: defaultBodyIdleTimeoutMs,
			leaveMs: defaultLeaveDelayMs,
			shutdownMs: defaultShutdownTimeoutMs,
		}),
});

/** The validated settings. */
export type Settings = z.infer<typeof settingsSchema>;

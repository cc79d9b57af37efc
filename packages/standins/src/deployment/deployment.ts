/** Reads the descriptions of deployments that are committed with this package. */

import fs from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';
import {z} from 'zod';

const serviceSchema = z.strictObject({
	name: z.string(),
	targets: z.int().positive(),
	idempotency: z.enum(['by-method', 'all', 'none']),
	serviceTimeMs: z.number().positive(),
	spread: z.number().nonnegative(),
	classes: z.array(z.string()).min(1),
});

const deploymentSchema = z.strictObject({
	name: z.string(),
	dataCentres: z.array(z.string()).min(1),
	delayMs: z.number().nonnegative(),
	callerDelayMs: z.number().nonnegative(),
	entryHosts: z.int().positive(),
	slots: z.int().positive(),
	connections: z.int().positive(),
	newConnectionMs: z.number().nonnegative(),
	coldAllowance: z.int().positive(),
	services: z.array(serviceSchema).min(1),
});

/** A service of a deployment: its targets, their service times and its caller classes. */
export type DeployedService = z.infer<typeof serviceSchema>;

/** A deployment: its data centres, network delays, entry hosts, target limits and services. */
export type Deployment = z.infer<typeof deploymentSchema>;

const deploymentsFolder = path.join(
	path.dirname(fileURLToPath(import.meta.url)),
	'../../deployments',
);

/**
 * Reads the description of a deployment.
 *
 * @param name - The name of its file without the extension.
 * @returns The deployment.
 * @throws Error if the file does not exist or is malformed.
 */
export function getDeploymentOrThrow(name: string): Deployment {
	const file = path.join(deploymentsFolder, `${name}.toml`);
	return deploymentSchema.parse(parse(fs.readFileSync(file, 'utf8')));
}

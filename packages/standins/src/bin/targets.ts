/**
 * Runs all targets of a deployment in one process: targets <plan.json>. Prints
 * "ready" when the targets and their control server listen.
 */

import fs from 'node:fs';
import process from 'node:process';
import type {Endpoint, TargetLocation} from '../deployment/address-plan.js';
import {getDeploymentOrThrow} from '../deployment/deployment.js';
import {makeTargets} from '../target/make-targets.js';
import {RunLog} from '../target/run-log.js';
import {makeTargetsControlServer} from '../target/targets-control-server.js';

type TargetsFile = {
	readonly deployment: string;
	readonly places: readonly TargetLocation[];
	readonly seed: number;
	readonly logFile: string;
	readonly control: Endpoint;
};

const file = JSON.parse(
	fs.readFileSync(process.argv[2]!, 'utf8'),
) as TargetsFile;
const targets = makeTargets({
	deployment: getDeploymentOrThrow(file.deployment),
	locations: file.places,
	seed: file.seed,
	log: new RunLog(file.logFile),
});
await Promise.all(targets.map(async (target) => target.listen()));
await makeTargetsControlServer(targets).listen({
	host: file.control.address,
	port: file.control.port,
});
process.stdout.write('ready\n');

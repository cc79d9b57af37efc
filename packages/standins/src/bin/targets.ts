/** Runs all targets of a deployment as one process: targets <plan.json>. */

import fs from 'node:fs';
import process from 'node:process';
import type {TargetPlace} from '../deployment/address-plan.js';
import {getDeploymentOrThrow} from '../deployment/deployment.js';
import {makeTargets, type SlowTarget} from '../target/make-targets.js';
import {RunLog} from '../target/run-log.js';

type TargetsFile = {
	readonly deployment: string;
	readonly places: readonly TargetPlace[];
	readonly seed: number;
	readonly logFile: string;
	readonly slowTargets: readonly SlowTarget[];
};

const file = JSON.parse(
	fs.readFileSync(process.argv[2]!, 'utf8'),
) as TargetsFile;
const targets = makeTargets({
	deployment: getDeploymentOrThrow(file.deployment),
	places: file.places,
	seed: file.seed,
	log: new RunLog(file.logFile),
	slowTargets: file.slowTargets,
});
await Promise.all(targets.map(async (target) => target.listen()));
process.stdout.write('ready\n');

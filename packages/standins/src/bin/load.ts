/**
 * Sends a load: load <plan.json>. Prints "ready" before the first call, and
 * "done" with the number of attempts after their records are written.
 */

import fs from 'node:fs';
import process from 'node:process';
import type {LoadPlan} from '../load/load-plan.js';
import {runLoad} from '../load/run-load.js';

const plan = JSON.parse(fs.readFileSync(process.argv[2]!, 'utf8')) as LoadPlan;
process.stdout.write('ready\n');
const records = await runLoad(plan);
process.stdout.write(`done ${records.length}\n`);
process.exit(0);

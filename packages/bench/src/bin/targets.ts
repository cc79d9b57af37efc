/** Runs targets that answer at once: targets.js <port> <address>... */

import process from 'node:process';
import {serveFastTargets} from '../processes/fast-target.js';

const [port, ...addresses] = process.argv.slice(2);
await serveFastTargets(addresses, Number(port));
process.stdout.write('ready\n');

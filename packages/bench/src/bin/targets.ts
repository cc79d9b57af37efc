/** Runs targets that respond immediately: targets.js <port> <address>... */

import process from 'node:process';
import {serveFastTargets} from '../processes/fast-targets.js';

const [port, ...addresses] = process.argv.slice(2);
await serveFastTargets(addresses, Number(port));
process.stdout.write('ready\n');

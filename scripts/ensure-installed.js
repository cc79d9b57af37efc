/** Installs the dependencies if they are missing in this checkout. */

import {spawnSync} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';

if (!fs.existsSync('node_modules/tsx')) {
	const {status} = spawnSync('npm', ['ci', '--ignore-scripts'], {
		stdio: 'inherit',
	});
	process.exitCode = status ?? 1;
}

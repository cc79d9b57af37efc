/** Makes the code cache of the entry process from a short run. */

import {spawnSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {getCodeCacheFile} from './load-module.cjs';

const warmUpTimeoutMs = 60_000;

/**
 * Runs bundled hosts against stand-ins for a moment and writes the code cache of their module beside it.
 *
 * @param {string} file - The path of the bundled module that runs a host.
 * @returns {boolean} Whether the code cache was written.
 */
export function makeCodeCache(file) {
	// V8 recognizes a code cache of other source only by a different length.
	rmSync(getCodeCacheFile(file), {force: true});
	const {status} = spawnSync(
		process.execPath,
		['target/warm-up.cjs', path.resolve(file)],
		{stdio: ['ignore', 'ignore', 'inherit'], timeout: warmUpTimeoutMs},
	);
	return status === 0;
}

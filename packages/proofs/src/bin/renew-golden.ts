/** Runs every session and rewrites its golden file. */

import process from 'node:process';
import {writeGoldenFile} from '../golden/golden-file.js';
import {runSession, sessions} from '../golden/sessions.js';

for (const name of Object.keys(sessions)) {
	const lines = await runSession(name);
	writeGoldenFile(name, lines);
	console.log(`${name}: ${lines.length} exchanges`);
}

process.exit(0);

/** Plays every session and writes its golden file anew. */

import process from 'node:process';
import {writeGoldenFile} from '../golden/golden-file.js';
import {playSession, sessions} from '../golden/sessions.js';

for (const name of Object.keys(sessions)) {
	const lines = await playSession(name);
	writeGoldenFile(name, lines);
	console.log(`${name}: ${lines.length} exchanges`);
}

process.exit(0);

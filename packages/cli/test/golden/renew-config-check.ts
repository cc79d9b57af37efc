/**
 * Writes the outputs of the golden cases of `config check` anew; the changes are to be read before they are committed.
 * Run with `node --conditions=source --import tsx packages/cli/test/golden/renew-config-check.ts`.
 */

import fs from 'node:fs';
import {
	getCaseNames,
	getCasePath,
	runCase,
} from '../commands/config-check-case.js';

for (const name of getCaseNames()) {
	const outputs = await runCase(name);
	for (const [file, text] of outputs) {
		fs.writeFileSync(getCasePath(name, file), text);
	}
}

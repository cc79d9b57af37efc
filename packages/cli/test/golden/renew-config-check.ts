/** Writes the outputs of the golden cases of `config check` anew; the changes are to be read before they are committed. */

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

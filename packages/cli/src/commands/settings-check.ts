/** `settings check`: validates the settings file of an entry process. */

import {parseSettings} from '@bilberryscale/daemon';
import {readTextFileOrThrow} from '../files/read-text-file.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command} from './command.js';

/** The `settings check` command. */
export const settingsCheck: Command = {
	usage: 'settings check <file>',
	summary: 'Check the settings file of an entry process',
	options: [jsonOption],
	examples: ['settings check entry-1.toml'],
	run([file = ''], flags, {output}) {
		const parsed = parseSettings(readTextFileOrThrow(file), file);
		const faults = parsed.isErr() ? parsed.error : [];
		printReport(output, flags.isSet('json'), {
			document: {file, faults},
			lines: faults.length > 0 ? [] : [`${file}: ok`],
			faults,
		});
		return faults.length > 0 ? exitCodes.checkFailed : exitCodes.success;
	},
};

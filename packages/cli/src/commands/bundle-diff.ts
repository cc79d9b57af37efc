/** `bundle diff`: describes the changes from one bundle to another. */

import {diffBundles} from '@bilberryscale/bundle';
import {readBundle} from '../files/read-bundle.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command} from './command.js';

/** The `bundle diff` command. */
export const bundleDiff: Command = {
	usage: 'bundle diff <former> <current>',
	summary:
		'Show what changes between two bundles, each a TOML file or a published folder',
	options: [jsonOption],
	examples: ['bundle diff published next.toml'],
	run([formerPath = '', currentPath = ''], flags, {output}) {
		const former = readBundle(formerPath);
		const current = readBundle(currentPath);
		const isJson = flags.isSet('json');
		if (former.isErr() || current.isErr()) {
			const faults = [former, current].flatMap((item) =>
				item.isErr() ? item.error : [],
			);
			printReport(output, isJson, {document: {faults}, lines: [], faults});
			return exitCodes.checkFailed;
		}

		const changes = diffBundles(former.value, current.value);
		printReport(output, isJson, {
			document: {changes},
			lines: changes.length > 0 ? changes : ['no changes'],
		});
		return exitCodes.success;
	},
};

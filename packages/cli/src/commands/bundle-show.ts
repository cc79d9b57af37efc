/** `bundle show`: prints a summary of a bundle. */

import type {Bundle, Service} from '@bilberryscale/bundle';
import {readBundle} from '../files/read-bundle.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command} from './command.js';

/** The `bundle show` command. */
export const bundleShow: Command = {
	usage: 'bundle show <place>',
	summary: 'Show a summary of a bundle, a TOML file or a published folder',
	options: [jsonOption],
	examples: ['bundle show published', 'bundle show next.toml --json'],
	run([path = ''], flags, {output}) {
		const bundle = readBundle(path);
		const isJson = flags.isSet('json');
		if (bundle.isErr()) {
			const faults = bundle.error;
			printReport(output, isJson, {document: {faults}, lines: [], faults});
			return exitCodes.checkFailed;
		}

		printReport(output, isJson, {
			document: bundle.value,
			lines: describeBundle(bundle.value),
		});
		return exitCodes.success;
	},
};

function describeBundle({version, dataCentres, services}: Bundle): string[] {
	const dataCentreNames = dataCentres.map(({id, state}) => `${id} (${state})`);
	return [
		`version ${version}`,
		`data centres: ${dataCentreNames.join(', ')}`,
		...services.map((service) => describeService(service)),
	];
}

function describeService({name, targets, classes}: Service): string {
	const slots = targets.reduce((sum, target) => sum + target.slots, 0);
	const classNames = classes.map((item) => item.name).join(', ');
	return `service ${name}: ${targets.length} targets with ${slots} slots; classes: ${classNames}`;
}

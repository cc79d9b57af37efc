/** `bundle check`: tells what is wrong with a bundle and what would be regretted. */

import {
	checkSize,
	findWarnings,
	splitBundle,
	type Bundle,
	type WarningContext,
} from '@bilberryscale/bundle';
import {Err, Ok, type Result} from 'ts-results-es';
import {readBundle, readSignedOrThrow} from '../files/read-bundle.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command} from './command.js';
import type {Flags} from './flags.js';

const defaultLoad = 0.6;

/** The command. */
export const bundleCheck: Command = {
	usage: 'bundle check <file>',
	summary: 'Check a bundle for faults, and for what would be regretted',
	options: [
		{
			usage: '--last <folder>',
			summary: 'The bundle published last; the version must be above it',
		},
		{
			usage: '--hosts <count>',
			summary: 'How many entry hosts share the connections of a target',
		},
		{
			usage: '--load <share>',
			summary: `The load to expect as a share of all slots (default: ${defaultLoad})`,
		},
		{usage: '--strict', summary: 'Fail on warnings too'},
		jsonOption,
	],
	examples: ['bundle check next.toml --last published --hosts 16 --strict'],
	run([file = ''], flags, {output}) {
		const context = readContextOrThrow(flags);
		const bundle = readBundle(file).andThen((value) => checkParts(value));
		const faults = bundle.isErr() ? bundle.error : [];
		const warnings = bundle.isOk() ? findWarnings(bundle.value, context) : [];
		const version = bundle.isOk() ? bundle.value.version : undefined;
		const state = warnings.length > 0 ? `${warnings.length} warnings` : 'ok';
		printReport(output, flags.isOn('json'), {
			document: {file, version, faults, warnings},
			lines:
				version === undefined ? [] : [`${file}: ${state}, version ${version}`],
			faults: [
				...faults,
				...warnings.map(({message}) => `warning: ${message}`),
			],
		});
		const isStrict = flags.isOn('strict');
		return faults.length > 0 || (isStrict && warnings.length > 0)
			? exitCodes.faults
			: exitCodes.success;
	},
};

function readContextOrThrow(flags: Flags): WarningContext {
	const hosts = flags.getNumber(
		'hosts',
		(value) => Number.isInteger(value) && value > 0,
		'a whole number above 0',
	);
	const load = flags.getNumber(
		'load',
		(value) => value > 0 && value <= 1,
		'above 0 and at most 1',
	);
	const folder = flags.getText('last');
	return {
		load: load ?? defaultLoad,
		...(hosts !== undefined && {hosts}),
		...(folder !== undefined && {lastVersion: readLastOrThrow(folder)}),
	};
}

function readLastOrThrow(folder: string) {
	const signed = readSignedOrThrow(folder);
	if (signed.isErr()) {
		throw new UsageError(signed.error.join('\n'));
	}

	return signed.value.manifest.version;
}

function checkParts(bundle: Bundle): Result<Bundle, readonly string[]> {
	const {manifest, parts} = splitBundle(bundle);
	const faults = [
		checkSize(JSON.stringify(manifest), 'the manifest'),
		...parts.map(({text}, index) =>
			checkSize(text, `service "${manifest.parts[index]!.service}"`),
		),
	].flatMap((sized) => (sized.isErr() ? [sized.error] : []));
	return faults.length > 0 ? Err(faults) : Ok(bundle);
}

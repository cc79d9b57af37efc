/** `bundle check`: reports errors in a bundle, and warnings about what is valid but risky. */

import {
	checkSize,
	findWarnings,
	splitBundle,
	type Bundle,
	type WarningContext,
} from '@bilberryscale/bundle';
import {Err, Ok, type Result} from 'ts-results-es';
import {readBundle, readSignedManifestOrThrow} from '../files/read-bundle.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command} from './command.js';
import type {Flags} from './flags.js';

const defaultExpectedLoad = 0.6;

/** The `bundle check` command. */
export const bundleCheck: Command = {
	usage: 'bundle check <file>',
	summary: 'Check a bundle for errors, and warn of what is valid but risky',
	options: [
		{
			usage: '--last <folder>',
			summary: 'The last published bundle; the version must be higher',
		},
		{
			usage: '--hosts <count>',
			summary:
				'The number of entry hosts that share the connections of a target',
		},
		{
			usage: '--load <share>',
			summary: `The expected load as a share of all slots (default: ${defaultExpectedLoad})`,
		},
		{usage: '--strict', summary: 'Also fail on warnings'},
		jsonOption,
	],
	examples: ['bundle check next.toml --last published --hosts 16 --strict'],
	run([file = ''], flags, {output}) {
		const context = readWarningContextOrThrow(flags);
		const bundle = readBundle(file).andThen((value) => checkSizes(value));
		const faults = bundle.isErr() ? bundle.error : [];
		const warnings = bundle.isOk() ? findWarnings(bundle.value, context) : [];
		const version = bundle.isOk() ? bundle.value.version : undefined;
		const summaryText =
			warnings.length > 0 ? `${warnings.length} warnings` : 'ok';
		printReport(output, flags.isSet('json'), {
			document: {file, version, faults, warnings},
			lines:
				version === undefined
					? []
					: [`${file}: ${summaryText}, version ${version}`],
			faults: [
				...faults,
				...warnings.map(({message}) => `warning: ${message}`),
			],
		});
		const isStrict = flags.isSet('strict');
		return faults.length > 0 || (isStrict && warnings.length > 0)
			? exitCodes.checkFailed
			: exitCodes.success;
	},
};

function readWarningContextOrThrow(flags: Flags): WarningContext {
	const hostCount = flags.getNumber(
		'hosts',
		(value) => Number.isInteger(value) && value > 0,
		'a whole number above 0',
	);
	const expectedLoad = flags.getNumber(
		'load',
		(value) => value > 0 && value <= 1,
		'above 0 and at most 1',
	);
	const folder = flags.getString('last');
	return {
		expectedLoad: expectedLoad ?? defaultExpectedLoad,
		...(hostCount !== undefined && {hostCount}),
		...(folder !== undefined && {
			lastPublishedVersion: readLastVersionOrThrow(folder),
		}),
	};
}

function readLastVersionOrThrow(folder: string) {
	const signedManifest = readSignedManifestOrThrow(folder);
	if (signedManifest.isErr()) {
		throw new UsageError(signedManifest.error.join('\n'));
	}

	return signedManifest.value.manifest.version;
}

function checkSizes(bundle: Bundle): Result<Bundle, readonly string[]> {
	const {manifest, parts} = splitBundle(bundle);
	const faults = [
		checkSize(JSON.stringify(manifest), 'the manifest'),
		...parts.map(({text}, index) =>
			checkSize(text, `service "${manifest.parts[index]!.service}"`),
		),
	].flatMap((result) => (result.isErr() ? [result.error] : []));
	return faults.length > 0 ? Err(faults) : Ok(bundle);
}

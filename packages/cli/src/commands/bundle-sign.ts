/** `bundle sign`: adds a signature to the published form of a bundle. */

import {
	getManifestDigest,
	parsePrivateKey,
	signManifest,
	splitBundle,
	type Manifest,
	type SignedManifest,
} from '@bilberryscale/bundle';
import {makeId, type SignerName} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {
	readManifest,
	writePublishedOrThrow,
} from '../files/published-bundle.js';
import {readBundle} from '../files/read-bundle.js';
import {readTextOrThrow} from '../files/read-text-file.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command} from './command.js';

/** The command. */
export const bundleSign: Command = {
	usage: 'bundle sign <file>',
	summary: 'Sign a bundle and write its published form',
	options: [
		{usage: '--signer <name>', summary: 'Who signs (required)'},
		{
			usage: '--key <file>',
			summary: 'The private key of the signer, PEM (required)',
		},
		{
			usage: '--out <folder>',
			summary: 'The folder of the published form (required)',
		},
		jsonOption,
	],
	examples: [
		'bundle sign next.toml --signer ana --key ana.key.pem --out published',
	],
	run([file = ''], flags, {output}) {
		const signer = makeId<SignerName>(flags.getTextOrThrow('signer'));
		const folder = flags.getTextOrThrow('out');
		const keyFile = flags.getTextOrThrow('key');
		const key = parsePrivateKey(readTextOrThrow(keyFile));
		if (key.isErr()) {
			throw new UsageError(`${keyFile}: ${key.error}`);
		}

		const split = readBundle(file).map((bundle) => splitBundle(bundle));
		const started = split.andThen(({manifest}) =>
			startSigning(folder, manifest),
		);
		if (split.isErr() || started.isErr()) {
			const faults = split.isErr() ? split.error : started.unwrapErr();
			const document = {file, faults};
			const isJson = flags.isOn('json');
			printReport(output, isJson, {document, lines: [], faults});
			return exitCodes.faults;
		}

		const signed = signManifest(started.value, signer, key.value);
		writePublishedOrThrow(folder, {signed, parts: split.value.parts});
		const {version} = signed.manifest;
		const signers = signed.signatures.map((item) => item.signer);
		printReport(output, flags.isOn('json'), {
			document: {folder, version, signers},
			lines: [`${folder}: version ${version}, signed by ${signers.join(', ')}`],
		});
		return exitCodes.success;
	},
};

/** Keeps the signatures of the same content; refuses another content that is not newer. */
function startSigning(
	folder: string,
	manifest: Manifest,
): Result<SignedManifest, readonly string[]> {
	return readManifest(folder).andThen((former) => {
		if (former === undefined || former.manifest.version < manifest.version) {
			return Ok({manifest, signatures: []});
		}

		if (getManifestDigest(former.manifest) === getManifestDigest(manifest)) {
			return Ok({manifest, signatures: former.signatures});
		}

		return Err([
			`${folder}: has version ${former.manifest.version} with another content; raise the version above it (seen: ${manifest.version})`,
		]);
	});
}

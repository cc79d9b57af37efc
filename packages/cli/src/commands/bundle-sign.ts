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
	writePublishedBundleOrThrow,
} from '../files/published-bundle.js';
import {readBundle} from '../files/read-bundle.js';
import {readTextFileOrThrow} from '../files/read-text-file.js';
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
		const signer = makeId<SignerName>(flags.getStringOrThrow('signer'));
		const folder = flags.getStringOrThrow('out');
		const keyFile = flags.getStringOrThrow('key');
		const key = parsePrivateKey(readTextFileOrThrow(keyFile));
		if (key.isErr()) {
			throw new UsageError(`${keyFile}: ${key.error}`);
		}

		const split = readBundle(file).map((bundle) => splitBundle(bundle));
		const manifestToSign = split.andThen(({manifest}) =>
			getManifestToSign(folder, manifest),
		);
		if (split.isErr() || manifestToSign.isErr()) {
			const faults = split.isErr() ? split.error : manifestToSign.unwrapErr();
			const document = {file, faults};
			const isJson = flags.isSet('json');
			printReport(output, isJson, {document, lines: [], faults});
			return exitCodes.checkFailed;
		}

		const signed = signManifest(manifestToSign.value, signer, key.value);
		writePublishedBundleOrThrow(folder, {signed, parts: split.value.parts});
		const {version} = signed.manifest;
		const signers = signed.signatures.map((item) => item.signer);
		printReport(output, flags.isSet('json'), {
			document: {folder, version, signers},
			lines: [`${folder}: version ${version}, signed by ${signers.join(', ')}`],
		});
		return exitCodes.success;
	},
};

/** Keeps the signatures of the same content; refuses another content that is not newer. */
function getManifestToSign(
	folder: string,
	manifest: Manifest,
): Result<SignedManifest, readonly string[]> {
	return readManifest(folder).andThen((existing) => {
		if (existing === undefined || existing.manifest.version < manifest.version) {
			return Ok({manifest, signatures: []});
		}

		if (getManifestDigest(existing.manifest) === getManifestDigest(manifest)) {
			return Ok({manifest, signatures: existing.signatures});
		}

		return Err([
			`${folder}: has version ${existing.manifest.version} with another content; raise the version above it (seen: ${manifest.version})`,
		]);
	});
}

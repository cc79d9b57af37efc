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
	readSignedManifest,
	writePublishedBundleOrThrow,
} from '../files/published-bundle.js';
import {readBundle} from '../files/read-bundle.js';
import {readTextFileOrThrow} from '../files/read-text-file.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command} from './command.js';

/** The `bundle sign` command. */
export const bundleSign: Command = {
	usage: 'bundle sign <file>',
	summary: 'Sign a bundle and write its published form',
	options: [
		{usage: '--signer <name>', summary: 'The name of the signer (required)'},
		{
			usage: '--key <file>',
			summary: 'The private key of the signer as a PEM file (required)',
		},
		{
			usage: '--out <folder>',
			summary: 'The folder for the published form (required)',
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

		const splitResult = readBundle(file).map((bundle) => splitBundle(bundle));
		const manifestToSign = splitResult.andThen(({manifest}) =>
			getManifestToSign(folder, manifest),
		);
		if (splitResult.isErr() || manifestToSign.isErr()) {
			const faults = splitResult.isErr()
				? splitResult.error
				: manifestToSign.unwrapErr();
			const document = {file, faults};
			const isJson = flags.isSet('json');
			printReport(output, isJson, {document, lines: [], faults});
			return exitCodes.checkFailed;
		}

		const signedManifest = signManifest(
			manifestToSign.value,
			signer,
			key.value,
		);
		writePublishedBundleOrThrow(folder, {
			signedManifest,
			parts: splitResult.value.parts,
		});
		const {version} = signedManifest.manifest;
		const signers = signedManifest.signatures.map((item) => item.signer);
		printReport(output, flags.isSet('json'), {
			document: {folder, version, signers},
			lines: [`${folder}: version ${version}, signed by ${signers.join(', ')}`],
		});
		return exitCodes.success;
	},
};

/**
 * Gets the manifest to add a signature to. Signatures over the same content are kept;
 * different content is rejected unless its version is higher.
 */
function getManifestToSign(
	folder: string,
	manifest: Manifest,
): Result<SignedManifest, readonly string[]> {
	return readSignedManifest(folder).andThen((existing) => {
		if (
			existing === undefined ||
			existing.manifest.version < manifest.version
		) {
			return Ok({manifest, signatures: []});
		}

		if (getManifestDigest(existing.manifest) === getManifestDigest(manifest)) {
			return Ok({manifest, signatures: existing.signatures});
		}

		return Err([
			`${folder}: already has version ${existing.manifest.version} with different content; raise the version above it (seen: ${manifest.version})`,
		]);
	});
}

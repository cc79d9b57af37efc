/** `bundle sign`: adds a signature to the published form of a bundle. */

import fs from 'node:fs';
import {
	getCanonicalText,
	parseBundle,
	parsePrivateKey,
	signManifest,
	splitBundle,
	type Manifest,
	type SignedManifest,
} from '@bilberryscale/bundle';
import {makeId, type SignerName} from '@bilberryscale/core';
import {Ok, type Result} from 'ts-results-es';
import {readManifest, writePublished} from '../files/published-folder.js';
import {exitCodes, type ExitCode} from '../output/exit-codes.js';
import type {Output} from '../output/output.js';

/** What the command is given. */
export type BundleSignFlags = {
	readonly signer: string;
	readonly key: string;
	readonly out: string;
};

/**
 * Signs a bundle.
 *
 * @param file - The bundle in TOML.
 * @param flags - Who signs and where the published form stands.
 * @param output - Where to print.
 * @returns The exit code.
 */
export function signBundle(
	file: string,
	flags: BundleSignFlags,
	output: Output,
): ExitCode {
	const key = parsePrivateKey(fs.readFileSync(flags.key, 'utf8'));
	if (key.isErr()) {
		output.printError(`${flags.key}: ${key.error}`);
		return exitCodes.usage;
	}

	const bundle = parseBundle(fs.readFileSync(file, 'utf8'), file);
	const split = bundle.map((value) => splitBundle(value));
	const former = split.andThen(({manifest}) =>
		getFormerSignatures(flags.out, manifest),
	);
	if (split.isErr() || former.isErr()) {
		const faults = split.isErr() ? split.error : former.unwrapErr();
		for (const fault of faults) {
			output.printError(fault);
		}

		return exitCodes.faults;
	}

	const signer = makeId<SignerName>(flags.signer);
	const signed = signManifest(former.value, signer, key.value);
	writePublished(flags.out, {signed, parts: split.value.parts});
	output.print(
		`${flags.out}: version ${signed.manifest.version}, ${signed.signatures.length} signatures`,
	);
	return exitCodes.success;
}

function getFormerSignatures(
	folder: string,
	manifest: Manifest,
): Result<SignedManifest, readonly string[]> {
	return readManifest(folder).andThen((former) => {
		const isSame =
			former !== undefined &&
			getCanonicalText(former.manifest) === getCanonicalText(manifest);
		return Ok({manifest, signatures: isSame ? former.signatures : []});
	});
}

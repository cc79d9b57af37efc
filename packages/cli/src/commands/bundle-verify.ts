/** `bundle verify`: checks whether hosts would accept a published bundle. */

import {verifyManifest} from '@bilberryscale/bundle';
import {readBundle, readSignedManifestOrThrow} from '../files/read-bundle.js';
import {readTrustPolicyOrThrow} from '../files/read-trust-policy.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command} from './command.js';

/** The `bundle verify` command. */
export const bundleVerify: Command = {
	usage: 'bundle verify <folder>',
	summary: 'Verify the signatures and the parts of a published bundle',
	options: [
		{
			usage: '--trust <file>',
			summary:
				'The trusted keys: a TOML file, or the settings of a host (required)',
		},
		jsonOption,
	],
	examples: ['bundle verify published --trust trust.toml'],
	run([folder = ''], flags, {output}) {
		const trust = readTrustPolicyOrThrow(flags.getStringOrThrow('trust'));
		const signedManifest = readSignedManifestOrThrow(folder);
		const verified = signedManifest.andThen((value) =>
			verifyManifest(value, trust).mapErr((fault) => [`${folder}: ${fault}`]),
		);
		const bundle = readBundle(folder);
		const faults = [
			...(verified.isErr() ? verified.error : []),
			...(bundle.isErr() && signedManifest.isOk() ? bundle.error : []),
		];
		const signers = verified.isOk() ? verified.value : [];
		const version = signedManifest.isOk()
			? signedManifest.value.manifest.version
			: undefined;
		printReport(output, flags.isSet('json'), {
			document: {folder, version, signers, faults},
			lines:
				faults.length > 0
					? []
					: [
							`${folder}: version ${version} is signed by ${signers.join(', ')}, all parts match`,
						],
			faults,
		});
		return faults.length > 0 ? exitCodes.checkFailed : exitCodes.success;
	},
};

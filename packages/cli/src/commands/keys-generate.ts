/** `keys generate`: generates a key pair for a signer. */

import fs from 'node:fs';
import {generateKeyPair} from '@bilberryscale/bundle';
import {describeFileError} from '../files/read-text-file.js';
import {exitCodes} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command} from './command.js';

const privateFileMode = 0o600;

/** The `keys generate` command. */
export const keysGenerate: Command = {
	usage: 'keys generate <name>',
	summary: 'Generate a key pair: <name>.key.pem and <name>.pub.pem',
	options: [jsonOption],
	examples: ['keys generate ana'],
	run([name = ''], flags, {output}) {
		const privateFile = `${name}.key.pem`;
		const publicFile = `${name}.pub.pem`;
		const pair = generateKeyPair();
		writeNewFileOrThrow(privateFile, pair.privateKey, privateFileMode);
		writeNewFileOrThrow(publicFile, pair.publicKey);
		printReport(output, flags.isSet('json'), {
			document: {privateFile, publicFile},
			lines: [
				`${privateFile}: private key, keep it secret`,
				`${publicFile}: public key, add it to the settings of every entry host`,
			],
		});
		return exitCodes.success;
	},
};

function writeNewFileOrThrow(file: string, text: string, mode?: number): void {
	try {
		fs.writeFileSync(file, text, {
			flag: 'wx',
			...(mode !== undefined && {mode}),
		});
	} catch (error) {
		const isExistingFile = (error as NodeJS.ErrnoException).code === 'EEXIST';
		throw new UsageError(
			isExistingFile
				? `${file}: already exists; not overwritten`
				: `${file}: cannot be written: ${describeFileError(error)}`,
		);
	}
}

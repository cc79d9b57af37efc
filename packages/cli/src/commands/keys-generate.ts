/** `keys generate`: makes a key pair for a signer. */

import fs from 'node:fs';
import {generateKeyPair} from '@bilberryscale/bundle';
import {exitCodes, type ExitCode} from '../output/exit-codes.js';
import type {Output} from '../output/output.js';

const privateFileMode = 0o600;

/**
 * Makes a key pair.
 *
 * @param name - The files' name without an ending.
 * @param output - Where to print.
 * @returns The exit code.
 */
export function generateKeys(name: string, output: Output): ExitCode {
	const privateFile = `${name}.key.pem`;
	const publicFile = `${name}.pub.pem`;
	const existing = [privateFile, publicFile].find((file) =>
		fs.existsSync(file),
	);
	if (existing !== undefined) {
		output.printError(`${existing}: exists already and is left as it is`);
		return exitCodes.usage;
	}

	const pair = generateKeyPair();
	fs.writeFileSync(privateFile, pair.privateKey, {mode: privateFileMode});
	fs.writeFileSync(publicFile, pair.publicKey);
	output.print(`${privateFile}: keep it secret`);
	output.print(`${publicFile}: goes into the settings of every entry host`);
	return exitCodes.success;
}

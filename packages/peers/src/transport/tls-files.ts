/** Loads the host's certificate and the authority that signs those of peers. */

import fs from 'node:fs';
import type {Buffer} from 'node:buffer';

/** The paths of the files. */
export type TlsFiles = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

/** The contents of the files, under the option names of `node:tls`. */
export type TlsMaterial = {
	readonly cert: Buffer;
	readonly key: Buffer;
	readonly ca: Buffer;
};

/**
 * Reads the files.
 *
 * @param files - Their paths.
 * @returns Their contents.
 * @throws Error if a file cannot be read.
 */
export function readTlsFiles(files: TlsFiles): TlsMaterial {
	return {
		cert: fs.readFileSync(files.certificate),
		key: fs.readFileSync(files.key),
		ca: fs.readFileSync(files.authority),
	};
}

/** Reads the certificate of this host and the authority of its peers. */

import fs from 'node:fs';
import type {Buffer} from 'node:buffer';

/** Where the files are. */
export type TlsFiles = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

/** What the files hold, as `node:tls` takes it. */
export type TlsMaterial = {
	readonly cert: Buffer;
	readonly key: Buffer;
	readonly ca: Buffer;
};

/**
 * Reads the files.
 *
 * @param files - Where they are.
 * @returns Their contents.
 * @throws Error if one cannot be read.
 */
export function readTlsFiles(files: TlsFiles): TlsMaterial {
	return {
		cert: fs.readFileSync(files.certificate),
		key: fs.readFileSync(files.key),
		ca: fs.readFileSync(files.authority),
	};
}

/** Issues the certificates of the entry hosts of a run. */

import fs from 'node:fs';
import path from 'node:path';
import {generate} from 'selfsigned';

/** The files of one entry host. */
export type CertificateFiles = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

type AuthorityKeyPair = {
	readonly key: string;
	readonly cert: string;
};

const algorithm = 'sha256';

/** An authority that issues a certificate to each host. */
export class CertificateDesk {
	readonly #folder: string;
	#authority: AuthorityKeyPair | undefined;

	/**
	 * @param folder - The folder that takes the files.
	 */
	constructor(folder: string) {
		this.#folder = folder;
	}

	/**
	 * Issues a certificate whose subject is the host.
	 *
	 * @param host - The host.
	 * @param notAfterDate - When it expires; a year from now if absent.
	 * @returns Where the files are.
	 */
	async issue(host: string, notAfterDate?: Date): Promise<CertificateFiles> {
		this.#authority ??= await createAuthority();
		const issued = await generate([{name: 'commonName', value: host}], {
			algorithm,
			keyType: 'ec',
			ca: this.#authority,
			...(notAfterDate !== undefined && {
				notBeforeDate: new Date(notAfterDate.getTime() - 1000),
				notAfterDate,
			}),
			extensions: [
				{name: 'basicConstraints', cA: false},
				{name: 'extKeyUsage', serverAuth: true, clientAuth: true},
			],
		});
		return {
			certificate: this.#write(`${host}.crt`, issued.cert),
			key: this.#write(`${host}.key`, issued.private),
			authority: this.#write('authority.crt', this.#authority.cert),
		};
	}

	#write(name: string, text: string): string {
		const file = path.join(this.#folder, name);
		fs.writeFileSync(file, text);
		return file;
	}
}

async function createAuthority(): Promise<AuthorityKeyPair> {
	const generated = await generate(
		[{name: 'commonName', value: 'authority of a run'}],
		{
			algorithm,
			keyType: 'ec',
			extensions: [
				{name: 'basicConstraints', cA: true},
				{name: 'keyUsage', keyCertSign: true, digitalSignature: true},
			],
		},
	);
	return {key: generated.private, cert: generated.cert};
}

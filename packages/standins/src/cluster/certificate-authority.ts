/** Issues the TLS certificates of the entry hosts of a cluster. */

import fs from 'node:fs';
import path from 'node:path';
import {generate} from 'selfsigned';

/** The paths of an entry host's certificate, private key and CA certificate. */
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

/** A certificate authority with a self-signed root, which is generated at the first issue. */
export class CertificateAuthority {
	readonly #folder: string;
	#authority: AuthorityKeyPair | undefined;

	/**
	 * @param folder - The folder that certificates and keys are written to.
	 */
	constructor(folder: string) {
		this.#folder = folder;
	}

	/**
	 * Issues a certificate with the host as its common name.
	 *
	 * @param host - The host, which also names the files.
	 * @param notAfterDate - When the certificate expires; after a year by default.
	 * @returns The paths of the files.
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

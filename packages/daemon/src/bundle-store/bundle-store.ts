/** Keeps the bundle in force; it never goes back to a lower version. */

import {
	joinBundle,
	verifyManifest,
	type Bundle,
	type SignedManifest,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import type {AuditSink, BundleVersion, Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';

/** Fetches the text of a part; undefined if it cannot be had. */
export type PartFetch = (digest: Digest) => Promise<string | undefined>;

/** What a store works with. */
export type BundleStoreOptions = {
	readonly trust: TrustPolicy;
	readonly audit: AuditSink;
	/** Takes a bundle into force. */
	readonly onAdopted: (bundle: Bundle) => void;
};

/** The bundle in force in this process. */
export class BundleStore {
	readonly #options: BundleStoreOptions;
	#bundle: Bundle | undefined;
	#signed: SignedManifest | undefined;
	#parts = new Map<Digest, string>();

	/**
	 * @param options - Whom to trust and whom to tell.
	 */
	constructor(options: BundleStoreOptions) {
		this.#options = options;
	}

	/** Gets the bundle in force; undefined before the first. */
	get bundle(): Bundle | undefined {
		return this.#bundle;
	}

	/** Gets the manifest in force, for peers; undefined before the first. */
	get signed(): SignedManifest | undefined {
		return this.#signed;
	}

	/**
	 * Gets the text of a part in force.
	 *
	 * @param digest - The digest of the part.
	 * @returns The text, if the bundle in force has the part.
	 */
	getPart(digest: Digest): string | undefined {
		return this.#parts.get(digest);
	}

	/**
	 * Takes a manifest into force if it is signed and newer.
	 *
	 * @param signed - The manifest, as it came from the platform or a peer.
	 * @param fetchPart - Fetches the parts that are not at hand.
	 * @returns The version adopted, or why it was refused.
	 */
	async adopt(
		signed: SignedManifest,
		fetchPart: PartFetch,
	): Promise<Result<BundleVersion, string>> {
		const {version} = signed.manifest;
		const verified = this.#checkVersion(version).andThen(() =>
			verifyManifest(signed, this.#options.trust),
		);
		if (verified.isErr()) {
			return this.#refuse(version, verified.error);
		}

		const parts = await this.#collectParts(signed, fetchPart);
		const joined = joinBundle(signed.manifest, (digest) => parts.get(digest));
		if (joined.isErr()) {
			return this.#refuse(version, joined.error.join('; '));
		}

		const stillNewer = this.#checkVersion(version);
		if (stillNewer.isErr()) {
			return this.#refuse(version, stillNewer.error);
		}

		this.#putInForce(signed, joined.value, parts);
		return Ok(version);
	}

	#checkVersion(version: BundleVersion): Result<void, string> {
		const current = this.#bundle?.version;
		return current !== undefined && version <= current
			? Err(`version ${version} is not above ${current}, which is in force`)
			: Ok(undefined);
	}

	async #collectParts(
		signed: SignedManifest,
		fetchPart: PartFetch,
	): Promise<Map<Digest, string>> {
		const entries = await Promise.all(
			signed.manifest.parts.map(
				async ({digest}) =>
					[
						digest,
						this.#parts.get(digest) ?? (await fetchPart(digest)),
					] as const,
			),
		);
		return new Map(
			entries.filter(
				(entry): entry is [Digest, string] => entry[1] !== undefined,
			),
		);
	}

	#putInForce(
		signed: SignedManifest,
		bundle: Bundle,
		parts: Map<Digest, string>,
	): void {
		const former = this.#bundle;
		this.#bundle = bundle;
		this.#signed = signed;
		this.#parts = parts;
		this.#options.audit({
			kind: 'bundle-adopted',
			subject: `version ${bundle.version}`,
			cause: 'signed by enough keys and newer',
			...(former !== undefined && {former: `version ${former.version}`}),
		});
		this.#auditDataCentres(former, bundle);
		this.#options.onAdopted(bundle);
	}

	#auditDataCentres(former: Bundle | undefined, current: Bundle): void {
		for (const {id, state} of current.dataCentres) {
			const before = former?.dataCentres.find((item) => item.id === id)?.state;
			if (before !== undefined && before !== state) {
				this.#options.audit({
					kind: state === 'out' ? 'data-centre-out' : 'data-centre-in',
					subject: id,
					cause: `bundle version ${current.version}`,
					former: before,
					current: state,
				});
			}
		}
	}

	#refuse(version: BundleVersion, cause: string): Result<never, string> {
		this.#options.audit({
			kind: 'bundle-refused',
			subject: `version ${version}`,
			cause,
		});
		return Err(cause);
	}
}

/** Holds the active bundle; it is never replaced by one with a lower version. */

import {
	getValidSignatures,
	joinServices,
	makeCachedVerifier,
	maxSignatures,
	parseSignedManifest,
	verifyManifest,
	type Bundle,
	type SignedManifest,
	type TrustPolicy,
} from '@bilberryscale/bundle';
import type {AuditSink, BundleVersion, Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {BundleAudit} from './bundle-audit.js';
import {checkPrecedence, getRank, type BundleRank} from './bundle-rank.js';
import {makeRefusal, type BundleRefusal} from './bundle-refusal.js';
import {PartCache, type FetchPart} from './part-cache.js';

/** The dependencies of a `BundleStore`. */
export type BundleStoreOptions = {
	readonly trust: TrustPolicy;
	readonly audit: AuditSink;
	/** Called with each bundle that becomes active. */
	readonly onAdopted: (bundle: Bundle) => void;
};

/** The result of offering a bundle: its version, or why it was refused. */
export type AdoptionResult = Result<BundleVersion, BundleRefusal>;

type ActiveBundle = {
	readonly bundle: Bundle;
	readonly signed: SignedManifest;
	readonly rank: BundleRank;
};

/** Verifies offered bundles and holds the active one of this process. */
export class BundleStore {
	readonly #options: BundleStoreOptions;
	readonly #audit: BundleAudit;
	readonly #checkSignature = makeCachedVerifier();
	readonly #parts = new PartCache();
	/** Manifests whose parts are being fetched. */
	readonly #pendingManifests = new Set<SignedManifest>();
	#trust: TrustPolicy;
	#active: ActiveBundle | undefined;

	/**
	 * @param options - The trusted keys, the audit sink and the callback for new bundles.
	 */
	constructor(options: BundleStoreOptions) {
		this.#options = options;
		this.#audit = new BundleAudit(options.audit);
		this.#trust = options.trust;
		this.#audit.recordTrust(undefined, options.trust);
	}

	/** Gets the active bundle; undefined before the first. */
	get bundle(): Bundle | undefined {
		return this.#active?.bundle;
	}

	/** Gets the active signed manifest, which peers fetch; undefined before the first. */
	get signed(): SignedManifest | undefined {
		return this.#active?.signed;
	}

	/** Gets the rank of the active bundle; undefined before the first. */
	get rank(): BundleRank | undefined {
		return this.#active?.rank;
	}

	/**
	 * Gets the text of a cached part.
	 *
	 * @param digest - The digest of the part.
	 * @returns The text, if the part is cached.
	 */
	getPart(digest: Digest): string | undefined {
		return this.#parts.getText(digest);
	}

	/**
	 * Replaces the trusted keys; the active bundle stays.
	 *
	 * @param trust - The keys and how many must sign.
	 */
	setTrust(trust: TrustPolicy): void {
		this.#audit.recordTrust(this.#trust, trust);
		this.#trust = trust;
	}

	/**
	 * Parses a manifest and adopts it if it is signed and newer.
	 *
	 * @param text - The manifest as JSON, as received from the platform or a peer.
	 * @param source - The name of its source, for error messages.
	 * @param fetchPart - Fetches the parts that are not cached.
	 * @returns The version adopted, or why it was refused.
	 */
	async adoptText(
		text: string,
		source: string,
		fetchPart: FetchPart,
	): Promise<AdoptionResult> {
		const parsed = parseSignedManifest(text, source);
		return parsed.isOk()
			? this.adopt(parsed.value, fetchPart)
			: this.#refuse(source, makeRefusal('malformed', parsed.error.join('; ')));
	}

	/**
	 * Adopts a manifest if it is signed and newer: its bundle becomes the active one.
	 *
	 * @param signed - The manifest, as received from the platform or a peer.
	 * @param fetchPart - Fetches the parts that are not cached.
	 * @returns The version adopted, or why it was refused.
	 *
	 * @remarks Calls may run concurrently; in whichever order they end, the bundle with the highest rank stays active.
	 */
	async adopt(
		signed: SignedManifest,
		fetchPart: FetchPart,
	): Promise<AdoptionResult> {
		const rank = getRank(signed.manifest);
		const admitted = this.#admit(rank, signed);
		if (admitted.isErr()) {
			return this.#refuse(`version ${rank.version}`, admitted.error);
		}

		this.#pendingManifests.add(signed);
		const adopted = await this.#fetchAndAdopt(signed, rank, fetchPart);
		this.#pendingManifests.delete(signed);
		return adopted;
	}

	async #fetchAndAdopt(
		signed: SignedManifest,
		rank: BundleRank,
		fetchPart: FetchPart,
	): Promise<AdoptionResult> {
		const {manifest} = signed;
		const services = await this.#parts.loadServices(manifest, fetchPart);
		const joined = services.andThen((value) =>
			joinServices(manifest, value).mapErr((errors) =>
				makeRefusal('malformed', errors.join('; ')),
			),
		);
		// The trusted keys and the active bundle may have changed during the fetch.
		const admitted = this.#admit(rank, signed).andThen(() => joined);
		if (admitted.isErr()) {
			return this.#refuse(`version ${rank.version}`, admitted.error);
		}

		this.#activate({bundle: admitted.value, signed, rank});
		return Ok(rank.version);
	}

	#admit(
		rank: BundleRank,
		signed: SignedManifest,
	): Result<void, BundleRefusal> {
		const current = this.#active?.rank;
		const precedence = checkPrecedence(rank, current);
		if (precedence.isErr() && precedence.error.kind === 'older') {
			return precedence;
		}

		const isActive = precedence.isErr() && precedence.error.kind === 'in-force';
		const verified = verifyManifest(signed, this.#trust, this.#checkSignature);
		if (verified.isErr() && !isActive) {
			return Err(makeRefusal('unsigned', verified.error));
		}

		this.#audit.recordSeen(rank, signed);
		if (isActive) {
			this.#mergeSignatures(signed);
		} else if (rank.version === current?.version) {
			this.#auditConflict(rank, current, precedence.isOk());
		}

		return precedence;
	}

	#auditConflict(
		offered: BundleRank,
		current: BundleRank,
		isOfferedActive: boolean,
	): void {
		if (isOfferedActive) {
			this.#audit.recordConflict(offered, current);
		} else {
			this.#audit.recordConflict(current, offered);
		}
	}

	#mergeSignatures(offered: SignedManifest): void {
		const current = this.#active!;
		const known = new Set(
			current.signed.signatures.map(({signature}) => signature),
		);
		const added = getValidSignatures(
			offered,
			this.#trust,
			this.#checkSignature,
		).filter(({signature}) => !known.has(signature));
		const {manifest, signatures} = current.signed;
		const all = [...added, ...signatures].slice(0, maxSignatures);
		this.#active = {...current, signed: {manifest, signatures: all}};
	}

	#activate(next: ActiveBundle): void {
		const previous = this.#active?.bundle;
		this.#active = next;
		this.#parts.retainPartsOf(
			[next.signed, ...this.#pendingManifests].map(({manifest}) => manifest),
		);
		this.#audit.recordAdopted(previous, next.bundle);
		this.#options.onAdopted(next.bundle);
	}

	#refuse(subject: string, refusal: BundleRefusal): AdoptionResult {
		if (refusal.kind !== 'in-force') {
			this.#audit.recordRefused(subject, refusal);
		}

		return Err(refusal);
	}
}

/** Keeps the bundle in force; it never goes back to a lower version. */

import {
	getValidSignatures,
	joinServices,
	makeCachedCheck,
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
import {checkRank, getRank, type BundleRank} from './bundle-rank.js';
import {makeRefusal, type BundleRefusal} from './bundle-refusal.js';
import {PartShelf, type PartFetch} from './part-shelf.js';

/** What a store works with. */
export type BundleStoreOptions = {
	readonly trust: TrustPolicy;
	readonly audit: AuditSink;
	/** Takes a bundle into force. */
	readonly onAdopted: (bundle: Bundle) => void;
};

/** What became of an offered bundle: its version, or why it was refused. */
export type Adoption = Result<BundleVersion, BundleRefusal>;

type InForce = {
	readonly bundle: Bundle;
	readonly signed: SignedManifest;
	readonly rank: BundleRank;
};

/** The bundle in force in this process. */
export class BundleStore {
	readonly #options: BundleStoreOptions;
	readonly #audit: BundleAudit;
	readonly #check = makeCachedCheck();
	readonly #shelf = new PartShelf();
	readonly #onTheirWay = new Set<SignedManifest>();
	#trust: TrustPolicy;
	#inForce: InForce | undefined;

	/**
	 * @param options - Whom to trust and whom to tell.
	 */
	constructor(options: BundleStoreOptions) {
		this.#options = options;
		this.#audit = new BundleAudit(options.audit);
		this.#trust = options.trust;
		this.#audit.addTrust(undefined, options.trust);
	}

	/** Gets the bundle in force; undefined before the first. */
	get bundle(): Bundle | undefined {
		return this.#inForce?.bundle;
	}

	/** Gets the manifest in force, for peers; undefined before the first. */
	get signed(): SignedManifest | undefined {
		return this.#inForce?.signed;
	}

	/** Gets the place of the bundle in force in the order of bundles. */
	get rank(): BundleRank | undefined {
		return this.#inForce?.rank;
	}

	/**
	 * Gets the text of a part that is at hand.
	 *
	 * @param digest - The digest of the part.
	 * @returns The text, if it is at hand.
	 */
	getPart(digest: Digest): string | undefined {
		return this.#shelf.getText(digest);
	}

	/**
	 * Replaces the trusted keys; the bundle in force stays.
	 *
	 * @param trust - The keys and how many must sign.
	 */
	setTrust(trust: TrustPolicy): void {
		this.#audit.addTrust(this.#trust, trust);
		this.#trust = trust;
	}

	/**
	 * Takes a manifest into force if it is signed and newer.
	 *
	 * @param text - The manifest as JSON, as it came from the platform or a peer.
	 * @param source - Names where it came from.
	 * @param fetchPart - Fetches the parts that are not at hand.
	 * @returns The version adopted, or why it was refused.
	 */
	async adoptText(
		text: string,
		source: string,
		fetchPart: PartFetch,
	): Promise<Adoption> {
		const parsed = parseSignedManifest(text, source);
		return parsed.isOk()
			? this.adopt(parsed.value, fetchPart)
			: this.#refuse(source, makeRefusal('malformed', parsed.error.join('; ')));
	}

	/**
	 * Takes a manifest into force if it is signed and newer.
	 *
	 * @param signed - The manifest, as it came from the platform or a peer.
	 * @param fetchPart - Fetches the parts that are not at hand.
	 * @returns The version adopted, or why it was refused.
	 *
	 * @remarks Several calls may run at once; whichever ends last, the highest stays in force.
	 */
	async adopt(signed: SignedManifest, fetchPart: PartFetch): Promise<Adoption> {
		const rank = getRank(signed.manifest);
		const admitted = this.#admit(rank, signed);
		if (admitted.isErr()) {
			return this.#refuse(`version ${rank.version}`, admitted.error);
		}

		this.#onTheirWay.add(signed);
		const adopted = await this.#fetchAndAdopt(signed, rank, fetchPart);
		this.#onTheirWay.delete(signed);
		return adopted;
	}

	async #fetchAndAdopt(
		signed: SignedManifest,
		rank: BundleRank,
		fetchPart: PartFetch,
	): Promise<Adoption> {
		const {manifest} = signed;
		const services = await this.#shelf.collect(manifest, fetchPart);
		const joined = services.andThen((value) =>
			joinServices(manifest, value).mapErr((faults) =>
				makeRefusal('malformed', faults.join('; ')),
			),
		);
		// Keys and the bundle in force may have changed during the fetch.
		const admitted = this.#admit(rank, signed).andThen(() => joined);
		if (admitted.isErr()) {
			return this.#refuse(`version ${rank.version}`, admitted.error);
		}

		this.#putInForce({bundle: admitted.value, signed, rank});
		return Ok(rank.version);
	}

	#admit(
		rank: BundleRank,
		signed: SignedManifest,
	): Result<void, BundleRefusal> {
		const current = this.#inForce?.rank;
		const order = checkRank(rank, current);
		if (order.isErr() && order.error.kind === 'older') {
			return order;
		}

		const isInForce = order.isErr() && order.error.kind === 'in-force';
		const verified = verifyManifest(signed, this.#trust, this.#check);
		if (verified.isErr() && !isInForce) {
			return Err(makeRefusal('unsigned', verified.error));
		}

		this.#audit.addSeen(rank, signed);
		if (isInForce) {
			this.#mergeSignatures(signed);
		} else if (rank.version === current?.version) {
			this.#auditConflict(rank, current, order.isOk());
		}

		return order;
	}

	#auditConflict(
		offered: BundleRank,
		current: BundleRank,
		offeredWins: boolean,
	): void {
		if (offeredWins) {
			this.#audit.addConflict(offered, current);
		} else {
			this.#audit.addConflict(current, offered);
		}
	}

	#mergeSignatures(offered: SignedManifest): void {
		const current = this.#inForce!;
		const known = new Set(
			current.signed.signatures.map(({signature}) => signature),
		);
		const added = getValidSignatures(offered, this.#trust, this.#check).filter(
			({signature}) => !known.has(signature),
		);
		const {manifest, signatures} = current.signed;
		const all = [...added, ...signatures].slice(0, maxSignatures);
		this.#inForce = {...current, signed: {manifest, signatures: all}};
	}

	#putInForce(next: InForce): void {
		const former = this.#inForce?.bundle;
		this.#inForce = next;
		this.#shelf.keepOnly(
			[next.signed, ...this.#onTheirWay].map(({manifest}) => manifest),
		);
		this.#audit.addAdopted(former, next.bundle);
		this.#options.onAdopted(next.bundle);
	}

	#refuse(subject: string, refusal: BundleRefusal): Adoption {
		if (refusal.kind !== 'in-force') {
			this.#audit.addRefused(subject, refusal);
		}

		return Err(refusal);
	}
}

/** The parts at hand, read once and kept while a bundle names them. */

import {
	parsePart,
	type Manifest,
	type PartReference,
	type Service,
} from '@bilberryscale/bundle';
import type {Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {makeRefusal, type BundleRefusal} from './bundle-refusal.js';

/** Fetches the text of a part; undefined if it cannot be had. */
export type PartFetch = (digest: Digest) => Promise<string | undefined>;

type ShelvedPart = {
	readonly text: string;
	readonly service: Service;
};

const fetchesAtOnce = 8;

/** Keeps the parts of the bundle in force and of bundles on their way. */
export class PartShelf {
	readonly #parts = new Map<Digest, ShelvedPart>();

	/** Gets how many parts are kept. */
	get size(): number {
		return this.#parts.size;
	}

	/**
	 * Gets the text of a part.
	 *
	 * @param digest - The digest of the part.
	 * @returns The text, if it is kept.
	 */
	getText(digest: Digest): string | undefined {
		return this.#parts.get(digest)?.text;
	}

	/**
	 * Gets the services of a manifest; only parts that are not kept are fetched.
	 *
	 * @param manifest - The manifest.
	 * @param fetchPart - Fetches a part.
	 * @returns The services in their order, or which part failed.
	 *
	 * @remarks What was fetched is kept if another part fails, so a later try fetches the rest alone.
	 */
	async collect(
		manifest: Manifest,
		fetchPart: PartFetch,
	): Promise<Result<readonly Service[], BundleRefusal>> {
		const wanted = manifest.parts.filter(
			({digest}) => !this.#parts.has(digest),
		);
		const refusals: BundleRefusal[] = [];
		const fetchNext = async () => {
			for (;;) {
				const reference = wanted.pop();
				if (reference === undefined) {
					return;
				}

				const added = await this.#fetch(reference, fetchPart);
				if (added.isErr()) {
					refusals.push(added.error);
				}
			}
		};

		await Promise.all(Array.from({length: fetchesAtOnce}, fetchNext));
		const [first] = refusals;
		return first === undefined ? this.#getServices(manifest) : Err(first);
	}

	/**
	 * Drops every part that none of the manifests names.
	 *
	 * @param manifests - The manifests whose parts stay.
	 */
	keepOnly(manifests: readonly Manifest[]): void {
		const named = new Set(
			manifests.flatMap(({parts}) => parts.map(({digest}) => digest)),
		);
		for (const digest of this.#parts.keys()) {
			if (!named.has(digest)) {
				this.#parts.delete(digest);
			}
		}
	}

	async #fetch(
		reference: PartReference,
		fetchPart: PartFetch,
	): Promise<Result<void, BundleRefusal>> {
		const text = await getOrNothing(reference.digest, fetchPart);
		if (text === undefined) {
			const cause = `part "${reference.service}" with digest ${reference.digest} cannot be had`;
			return Err(makeRefusal('part-missing', cause));
		}

		const service = parsePart(reference, text);
		if (service.isErr()) {
			return Err(makeRefusal('part-missing', service.error.join('; ')));
		}

		this.#parts.set(reference.digest, {text, service: service.value});
		return Ok(undefined);
	}

	#getServices(manifest: Manifest): Result<readonly Service[], BundleRefusal> {
		const services = manifest.parts.flatMap(
			({digest}) => this.#parts.get(digest)?.service ?? [],
		);
		return services.length === manifest.parts.length
			? Ok(services)
			: Err(makeRefusal('part-missing', 'a part was dropped meanwhile'));
	}
}

async function getOrNothing(
	digest: Digest,
	fetchPart: PartFetch,
): Promise<string | undefined> {
	try {
		return await fetchPart(digest);
	} catch {
		return undefined;
	}
}

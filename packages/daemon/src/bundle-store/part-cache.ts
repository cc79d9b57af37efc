/** A cache of parsed parts: each is fetched once and kept while a bundle refers to it. */

import {
	parsePart,
	type Manifest,
	type PartReference,
	type Service,
} from '@bilberryscale/bundle';
import type {Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {makeRefusal, type BundleRefusal} from './bundle-refusal.js';

/** Fetches the text of a part; undefined if it is not available. */
export type FetchPart = (digest: Digest) => Promise<string | undefined>;

type CachedPart = {
	readonly text: string;
	readonly service: Service;
};

const maxConcurrentFetches = 8;

/** Caches the parts of the active bundle and of bundles that are being fetched. */
export class PartCache {
	readonly #parts = new Map<Digest, CachedPart>();

	/** Gets the number of cached parts. */
	get size(): number {
		return this.#parts.size;
	}

	/**
	 * Gets the text of a part.
	 *
	 * @param digest - The digest of the part.
	 * @returns The text, if the part is cached.
	 */
	getText(digest: Digest): string | undefined {
		return this.#parts.get(digest)?.text;
	}

	/**
	 * Loads the services of a manifest; only parts that are not cached are fetched.
	 *
	 * @param manifest - The manifest.
	 * @param fetchPart - Fetches a part.
	 * @returns The services in the order of the manifest, or which part failed.
	 *
	 * @remarks Parts that were fetched stay cached if another part fails, so the next attempt fetches only the rest.
	 */
	async loadServices(
		manifest: Manifest,
		fetchPart: FetchPart,
	): Promise<Result<readonly Service[], BundleRefusal>> {
		const missingParts = manifest.parts.filter(
			({digest}) => !this.#parts.has(digest),
		);
		const refusals: BundleRefusal[] = [];
		const fetchNext = async () => {
			for (;;) {
				const reference = missingParts.pop();
				if (reference === undefined) {
					return;
				}

				const fetchResult = await this.#fetch(reference, fetchPart);
				if (fetchResult.isErr()) {
					refusals.push(fetchResult.error);
				}
			}
		};

		await Promise.all(Array.from({length: maxConcurrentFetches}, fetchNext));
		const [first] = refusals;
		return first === undefined ? this.#getServices(manifest) : Err(first);
	}

	/**
	 * Removes every part that none of the manifests refers to.
	 *
	 * @param manifests - The manifests whose parts are kept.
	 */
	retainPartsOf(manifests: readonly Manifest[]): void {
		const referencedDigests = new Set(
			manifests.flatMap(({parts}) => parts.map(({digest}) => digest)),
		);
		for (const digest of this.#parts.keys()) {
			if (!referencedDigests.has(digest)) {
				this.#parts.delete(digest);
			}
		}
	}

	async #fetch(
		reference: PartReference,
		fetchPart: FetchPart,
	): Promise<Result<void, BundleRefusal>> {
		const text = await fetchOrUndefined(reference.digest, fetchPart);
		if (text === undefined) {
			const cause = `part "${reference.service}" with digest ${reference.digest} could not be fetched`;
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
			: Err(
					makeRefusal(
						'part-missing',
						'a part was removed from the cache during the fetch',
					),
				);
	}
}

async function fetchOrUndefined(
	digest: Digest,
	fetchPart: FetchPart,
): Promise<string | undefined> {
	try {
		return await fetchPart(digest);
	} catch {
		return undefined;
	}
}

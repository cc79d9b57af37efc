/** Assembles a bundle from a verified manifest and its parts. */

import type {Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Bundle, Service} from '../model/bundle.js';
import {findConsistencyErrors} from '../model/find-consistency-errors.js';
import {parsePart} from './parse-part.js';
import type {Manifest, PartReference} from './published-bundle.js';

/** Returns the text of the part with a digest, or undefined if the part is not available. */
export type PartLookup = (digest: Digest) => string | undefined;

/**
 * Assembles a bundle from a manifest and its parts, and verifies the digest of each part.
 *
 * @param manifest - A manifest with verified signatures.
 * @param getPart - Returns the text of a part.
 * @returns The bundle, or one message per error.
 */
export function joinBundle(
	manifest: Manifest,
	getPart: PartLookup,
): Result<Bundle, readonly string[]> {
	const services: Service[] = [];
	const errors: string[] = [];
	for (const reference of manifest.parts) {
		const service = parsePartText(reference, getPart(reference.digest));
		if (service.isOk()) {
			services.push(service.value);
		} else {
			errors.push(...service.error);
		}
	}

	const joined = joinServices(manifest, services);
	return errors.length > 0
		? Err([...errors, ...(joined.isErr() ? joined.error : [])])
		: joined;
}

/**
 * Assembles a bundle from a manifest and its already parsed services.
 *
 * @param manifest - A manifest with verified signatures.
 * @param services - The services in the order of the parts in the manifest.
 * @returns The bundle, or one message per consistency error.
 */
export function joinServices(
	manifest: Manifest,
	services: readonly Service[],
): Result<Bundle, readonly string[]> {
	const {version, dataCentres, distances} = manifest;
	const bundle: Bundle = {version, dataCentres, distances, services};
	const errors = findConsistencyErrors(bundle);
	return errors.length > 0 ? Err(errors) : Ok(bundle);
}

function parsePartText(
	reference: PartReference,
	text: string | undefined,
): Result<Service, readonly string[]> {
	return text === undefined
		? Err([`part "${reference.service}": missing; digest ${reference.digest}`])
		: parsePart(reference, text);
}

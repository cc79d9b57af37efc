/** Joins a verified manifest and its parts into a bundle. */

import type {Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Bundle, Service} from '../model/bundle.js';
import {findContradictions} from '../model/find-contradictions.js';
import {parsePart} from './parse-part.js';
import type {Manifest, PartReference} from './published-bundle.js';

/** Gives the text of a part, if it is at hand. */
export type PartSource = (digest: Digest) => string | undefined;

/**
 * Joins a manifest with its parts and checks each digest.
 *
 * @param manifest - A manifest whose signatures were verified.
 * @param getPart - Gives the text of each part.
 * @returns The bundle, or every fault that was found.
 */
export function joinBundle(
	manifest: Manifest,
	getPart: PartSource,
): Result<Bundle, readonly string[]> {
	const services: Service[] = [];
	const faults: string[] = [];
	for (const reference of manifest.parts) {
		const service = readPart(reference, getPart(reference.digest));
		if (service.isOk()) {
			services.push(service.value);
		} else {
			faults.push(...service.error);
		}
	}

	const joined = joinServices(manifest, services);
	return faults.length > 0
		? Err([...faults, ...(joined.isErr() ? joined.error : [])])
		: joined;
}

/**
 * Joins a manifest with services that were read before.
 *
 * @param manifest - A manifest whose signatures were verified.
 * @param services - The services of its parts, in their order.
 * @returns The bundle, or every contradiction that was found.
 */
export function joinServices(
	manifest: Manifest,
	services: readonly Service[],
): Result<Bundle, readonly string[]> {
	const {version, dataCentres, distances} = manifest;
	const bundle: Bundle = {version, dataCentres, distances, services};
	const faults = findContradictions(bundle);
	return faults.length > 0 ? Err(faults) : Ok(bundle);
}

function readPart(
	reference: PartReference,
	text: string | undefined,
): Result<Service, readonly string[]> {
	return text === undefined
		? Err([`part "${reference.service}": missing; digest ${reference.digest}`])
		: parsePart(reference, text);
}

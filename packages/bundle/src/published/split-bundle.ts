/** Splits a bundle into a manifest and one part for each service. */

import type {Bundle, Service} from '../model/bundle.js';
import {getCanonicalJson, getDigest} from '../utils/canonical-json.js';
import type {Manifest, Part} from './published-bundle.js';

/** The unsigned published form of a bundle. */
export type SplitBundle = {
	readonly manifest: Manifest;
	readonly parts: readonly Part[];
};

/**
 * Splits a bundle into a manifest and parts.
 *
 * @param bundle - The bundle.
 * @returns The manifest and the parts that it refers to.
 */
export function splitBundle(bundle: Bundle): SplitBundle {
	const entries = bundle.services.map((service) => ({
		service: service.name,
		part: createPart(service),
	}));
	const manifest: Manifest = {
		version: bundle.version,
		dataCentres: bundle.dataCentres,
		distances: bundle.distances,
		parts: entries.map(({service, part}) => ({service, digest: part.digest})),
	};
	return {manifest, parts: entries.map(({part}) => part)};
}

function createPart(service: Service): Part {
	const text = getCanonicalJson(service);
	return {digest: getDigest(text), text};
}

/** Splits a bundle into a manifest and one part for each service. */

import type {Bundle, Service} from '../model/bundle.js';
import {getCanonicalText, getDigest} from '../utils/canonical.js';
import type {Manifest, Part} from './published-bundle.js';

/** A bundle that was split and not yet signed. */
export type SplitBundle = {
	readonly manifest: Manifest;
	readonly parts: readonly Part[];
};

/**
 * Splits a bundle into its published form.
 *
 * @param bundle - The bundle.
 * @returns The manifest and the parts that it names.
 */
export function splitBundle(bundle: Bundle): SplitBundle {
	const entries = bundle.services.map((service) => ({
		service: service.name,
		part: makePart(service),
	}));
	const manifest: Manifest = {
		version: bundle.version,
		dataCentres: bundle.dataCentres,
		distances: bundle.distances,
		parts: entries.map(({service, part}) => ({service, digest: part.digest})),
	};
	return {manifest, parts: entries.map(({part}) => part)};
}

function makePart(service: Service): Part {
	const text = getCanonicalText(service);
	return {digest: getDigest(text), text};
}

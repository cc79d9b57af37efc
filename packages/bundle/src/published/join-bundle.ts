/** Joins a verified manifest and its parts into a bundle. */

import type {Digest} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {serviceSchema} from '../model/bundle-schema.js';
import type {Bundle, Service} from '../model/bundle.js';
import {findContradictions} from '../model/find-contradictions.js';
import {getDigest} from '../utils/canonical.js';
import {describeIssues} from '../utils/describe-issues.js';
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

	const {version, dataCentres, distances} = manifest;
	const bundle: Bundle = {version, dataCentres, distances, services};
	faults.push(...findContradictions(bundle));
	return faults.length > 0 ? Err(faults) : Ok(bundle);
}

function readPart(
	reference: PartReference,
	text: string | undefined,
): Result<Service, readonly string[]> {
	const label = `part "${reference.service}"`;
	if (text === undefined) {
		return Err([`${label}: missing; digest ${reference.digest}`]);
	}

	const digest = getDigest(text);
	if (digest !== reference.digest) {
		return Err([`${label}: digest ${digest} is not ${reference.digest}`]);
	}

	const document: unknown = JSON.parse(text);
	const checked = serviceSchema.safeParse(document);
	if (!checked.success) {
		return Err(describeIssues(label, checked.error, document));
	}

	return checked.data.name === reference.service
		? Ok(checked.data)
		: Err([`${label}: holds the service "${checked.data.name}"`]);
}

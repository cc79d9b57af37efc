/** The form in which a bundle is published: a signed manifest and its parts. */

import type {
	BundleVersion,
	Digest,
	ServiceName,
	SignerName,
} from '@bilberryscale/core';
import type {DataCentre, Distance} from '../model/bundle.js';

/** Names the part that holds a service. */
export type PartReference = {
	readonly service: ServiceName;
	/** The digest of the part's canonical form. */
	readonly digest: Digest;
};

/** What is signed: everything but the services, which it names by digest. */
export type Manifest = {
	readonly version: BundleVersion;
	readonly dataCentres: readonly DataCentre[];
	readonly distances: readonly Distance[];
	readonly parts: readonly PartReference[];
};

/** A signature over the canonical form of a manifest. */
export type ManifestSignature = {
	readonly signer: SignerName;
	/** The Ed25519 signature in base64. */
	readonly signature: string;
};

/** A manifest with the signatures that were collected so far. */
export type SignedManifest = {
	readonly manifest: Manifest;
	readonly signatures: readonly ManifestSignature[];
};

/** A part in its canonical form. */
export type Part = {
	readonly digest: Digest;
	/** The canonical text of the service. */
	readonly text: string;
};

/** All that operators publish of one bundle. */
export type PublishedBundle = {
	readonly signed: SignedManifest;
	readonly parts: readonly Part[];
};

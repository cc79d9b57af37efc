/** The published form of a bundle: a signed manifest and one part for each service. */

import type {
	BundleVersion,
	Digest,
	ServiceName,
	SignerName,
} from '@bilberryscale/core';
import type {DataCentre, Distance} from '../model/bundle.js';

/** A reference to the part that contains a service. */
export type PartReference = {
	readonly service: ServiceName;
	/** The digest of the canonical text of the part. */
	readonly digest: Digest;
};

/** The signed content of a bundle; refers to its services by digest. */
export type Manifest = {
	readonly version: BundleVersion;
	readonly dataCentres: readonly DataCentre[];
	readonly distances: readonly Distance[];
	readonly parts: readonly PartReference[];
};

/** A signature of the canonical text of a manifest. */
export type ManifestSignature = {
	readonly signer: SignerName;
	/** The Ed25519 signature in base64. */
	readonly signature: string;
};

/** A manifest and the signatures collected so far. */
export type SignedManifest = {
	readonly manifest: Manifest;
	readonly signatures: readonly ManifestSignature[];
};

/** A part in canonical form. */
export type Part = {
	readonly digest: Digest;
	/** The canonical text of the service. */
	readonly text: string;
};

/** The signed manifest and the parts of a bundle. */
export type PublishedBundle = {
	readonly signedManifest: SignedManifest;
	readonly parts: readonly Part[];
};

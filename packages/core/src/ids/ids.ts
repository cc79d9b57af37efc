/** The branded ids that all packages share. */

import type {Branded} from './brand.js';

/** Names an entry host; it survives restarts of the process on that host. */
export type HostId = Branded<string, 'HostId'>;

/** Names one life of an entry process; a restart gives a new one. */
export type IncarnationId = Branded<string, 'IncarnationId'>;

/** Names a data centre. */
export type DataCentreId = Branded<string, 'DataCentreId'>;

/** Names a service of the bundle. */
export type ServiceName = Branded<string, 'ServiceName'>;

/** Names a target of a service. */
export type TargetId = Branded<string, 'TargetId'>;

/** Names a class of callers within a service. */
export type CallerClass = Branded<string, 'CallerClass'>;

/** Names one call on its way through the system. */
export type RequestId = Branded<string, 'RequestId'>;

/** Names one non-idempotent request over all its sends; a UUIDv7. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;

/** Orders bundles; a higher one replaces a lower one. */
export type BundleVersion = Branded<number, 'BundleVersion'>;

/** Names a key that signs bundles. */
export type SignerName = Branded<string, 'SignerName'>;

/** Is the SHA-256 of a value in lower-case hexadecimal. */
export type Digest = Branded<string, 'Digest'>;

/** Names one life of a target, as the target itself reports it. */
export type BootId = Branded<string, 'BootId'>;

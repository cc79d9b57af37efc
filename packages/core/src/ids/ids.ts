/** The branded id types shared by all packages. */

import type {Branded} from './branded.js';

/** Identifies an entry host; stays the same when the process on that host restarts. */
export type HostId = Branded<string, 'HostId'>;

/** Identifies one incarnation of an entry process; changes with each restart. */
export type IncarnationId = Branded<string, 'IncarnationId'>;

/** Identifies a data centre. */
export type DataCentreId = Branded<string, 'DataCentreId'>;

/** The name of a service in the bundle. */
export type ServiceName = Branded<string, 'ServiceName'>;

/** Identifies a target of a service. */
export type TargetId = Branded<string, 'TargetId'>;

/** The name of a class of callers within a service. */
export type CallerClass = Branded<string, 'CallerClass'>;

/** Identifies one request throughout the system. */
export type RequestId = Branded<string, 'RequestId'>;

/** Identifies a non-idempotent request across all its attempts; a UUIDv7. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;

/** The version of a bundle; a bundle with a higher version replaces one with a lower version. */
export type BundleVersion = Branded<number, 'BundleVersion'>;

/** The name of a key that signs bundles. */
export type SignerName = Branded<string, 'SignerName'>;

/** The SHA-256 digest of a value, in lower-case hexadecimal. */
export type Digest = Branded<string, 'Digest'>;

/** Identifies one incarnation of a target, as reported by the target. */
export type TargetIncarnationId = Branded<string, 'TargetIncarnationId'>;

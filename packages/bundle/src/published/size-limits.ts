/** The size limits of published bundles. */

/** The maximum size of a value on the platform, in bytes. */
export const maxValueBytes = 1_000_000;

/** The maximum number of signatures of a manifest. */
export const maxSignatures = 32;

/** The maximum number of parts of a manifest, one for each service. */
export const maxParts = 4096;

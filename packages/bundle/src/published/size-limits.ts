/** The bounds of what is published. */

/** The largest value that the platform holds, in bytes. */
export const maxValueBytes = 1_000_000;

/** The most signatures that a manifest may carry. */
export const maxSignatures = 32;

/** The most services that a manifest may name. */
export const maxParts = 4096;

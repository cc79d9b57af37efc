/** Limits on the age of what a pick relies on. */

/** Maximum age of a load report, in milliseconds. */
export const maxReportAgeMs = 15;

/** Maximum idle time of a reused connection, in milliseconds; shorter for requests that cannot be repeated if it is lost. */
export const maxIdleMs = {idempotent: 5000, nonIdempotent: 150} as const;

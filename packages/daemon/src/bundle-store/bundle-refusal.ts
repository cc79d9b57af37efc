/** The reasons for which a bundle is not adopted. */

/** All kinds of refusal. */
export const refusalKinds = [
	/** It is not a valid manifest, its parts don't match it, or it is too large. */
	'malformed',
	/** A bundle with a higher version is active. */
	'older',
	/** The same bundle is already active. */
	'in-force',
	/** A bundle with the same version, another content and a lower digest is active. */
	'conflict',
	/** Fewer trusted keys than required signed it. */
	'unsigned',
	/** A part could not be fetched or was invalid; a later fetch may succeed. */
	'part-missing',
] as const;

/** A kind of refusal. */
export type RefusalKind = (typeof refusalKinds)[number];

/** A refusal and its cause. */
export type BundleRefusal = {
	readonly kind: RefusalKind;
	/** One sentence with the actual values. */
	readonly cause: string;
};

/**
 * Makes a refusal.
 *
 * @param kind - The kind.
 * @param cause - One sentence with the actual values.
 * @returns The refusal.
 */
export function makeRefusal(kind: RefusalKind, cause: string): BundleRefusal {
	return {kind, cause};
}

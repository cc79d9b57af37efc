/** Why a bundle was not taken into force. */

/** Every kind of refusal. */
export const refusalKinds = [
	/** It is not a manifest, or it or a part is over its size. */
	'malformed',
	/** A higher version is in force. */
	'older',
	/** The very same bundle is in force. */
	'in-force',
	/** Another content of the same version is in force and has the lower digest. */
	'conflict',
	/** Too few trusted keys signed it. */
	'unsigned',
	/** A part could not be had; asking again may help. */
	'part-missing',
] as const;

/** One of the kinds. */
export type RefusalKind = (typeof refusalKinds)[number];

/** A refusal and its reason. */
export type BundleRefusal = {
	readonly kind: RefusalKind;
	/** One sentence with the values seen. */
	readonly cause: string;
};

/**
 * Makes a refusal.
 *
 * @param kind - The kind.
 * @param cause - One sentence with the values seen.
 * @returns The refusal.
 */
export function makeRefusal(kind: RefusalKind, cause: string): BundleRefusal {
	return {kind, cause};
}

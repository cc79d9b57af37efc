/** A mistake of the user, told in one line. */

/** The command line or a file cannot be used. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}

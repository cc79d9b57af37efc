/** The error for invalid input by the user. */

/** Thrown if the command line or a file is invalid; the tool prints its message without a stack trace. */
export class UsageError extends Error {
	override readonly name = 'UsageError';
}

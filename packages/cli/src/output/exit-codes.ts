/** The exit codes of the tool. */

/** What the tool tells the shell. */
export const exitCodes = {
	/** All went well. */
	success: 0,
	/** What was checked is not in order. */
	faults: 1,
	/** The command line or a file could not be used. */
	usage: 2,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

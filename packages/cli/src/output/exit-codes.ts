/** The exit codes of the tool. */

/** What the tool tells the shell. */
export const exitCodes = {
	/** All went well. */
	success: 0,
	/** What was checked or compared is not in order. */
	checkFailed: 1,
	/** The command line or a file could not be used. */
	usageError: 2,
	/** A host did not answer, so the result is not complete. */
	incomplete: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The exit codes in words, for the help. */
export const exitCodeHelp = [
	'  0  all went well',
	'  1  what was checked or compared is not in order',
	'  2  the command line or a file could not be used',
	'  3  a host did not answer, so the result is not complete',
].join('\n');

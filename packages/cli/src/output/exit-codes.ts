/** The exit codes of the tool. */

/** The exit codes by outcome. */
export const exitCodes = {
	/** The command succeeded. */
	success: 0,
	/** A check or comparison failed, or nothing was found. */
	checkFailed: 1,
	/** The command line or a file is invalid, or the only host that was to be read did not respond. */
	usageError: 2,
	/** At least one host gave no usable response, so the result is incomplete. */
	incomplete: 3,
} as const;

/** The exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The section on exit codes in the help. */
export const exitCodeHelp = [
	'  0  all went well',
	'  1  what was checked or compared is not in order',
	'  2  the command line, a file or the host to compare with could not be used',
	'  3  a host did not answer, so the result is not complete',
].join('\n');

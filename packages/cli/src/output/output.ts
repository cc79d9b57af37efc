/** Where the tool prints. */

/** Takes the lines that the tool prints. */
export type Output = {
	readonly print: (line: string) => void;
	readonly printError: (line: string) => void;
};

/** What a command found out, for machines and for people. */
export type Report = {
	/** What `--json` prints. */
	readonly document: unknown;
	/** What is printed without it. */
	readonly lines: readonly string[];
	/** What goes to standard error without `--json`. */
	readonly faults?: readonly string[];
};

/**
 * Prints a report.
 *
 * @param output - Where to print.
 * @param isJson - Whether to print JSON.
 * @param report - What was found out.
 */
export function printReport(
	output: Output,
	isJson: boolean,
	report: Report,
): void {
	if (isJson) {
		output.print(JSON.stringify(report.document));
		return;
	}

	for (const line of report.lines) {
		output.print(line);
	}

	for (const fault of report.faults ?? []) {
		output.printError(fault);
	}
}

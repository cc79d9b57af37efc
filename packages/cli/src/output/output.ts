/** Prints the results of commands. */

/** Receives the lines for standard output and standard error. */
export type Output = {
	readonly print: (line: string) => void;
	readonly printError: (line: string) => void;
};

/** The result of a command, as a JSON document and as text. */
export type Report = {
	/** Printed as JSON with `--json`. */
	readonly document: unknown;
	/** Printed to standard output without `--json`. */
	readonly lines: readonly string[];
	/** Printed to standard error without `--json`. */
	readonly faults?: readonly string[];
};

/**
 * Prints a report.
 *
 * @param output - Where to print.
 * @param isJson - Whether to print the JSON document instead of the text.
 * @param report - The result of the command.
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

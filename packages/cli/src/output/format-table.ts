/** Aligns rows of text in columns. */

const columnSeparator = '  ';

/**
 * Formats rows as a table with columns padded to equal width.
 *
 * @param rows - The rows, all of the same length; the first holds the column headers.
 * @returns One line for each row.
 */
export function formatTable(
	rows: ReadonlyArray<readonly string[]>,
): readonly string[] {
	const widths = rows[0]!.map((_, column) =>
		Math.max(...rows.map((row) => row[column]!.length)),
	);
	return rows.map((row) =>
		row
			.map((cell, column) => cell.padEnd(widths[column]!))
			.join(columnSeparator)
			.trimEnd(),
	);
}

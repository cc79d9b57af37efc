/** Prints rows in columns. */

const columnSeparator = '  ';

/**
 * Formats a table.
 *
 * @param rows - The rows; the first holds the heads of the columns.
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

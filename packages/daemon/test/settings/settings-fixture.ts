/** The example settings of the documentation, for tests. */

import fs from 'node:fs';

const exampleFile = new URL(
	'../../../../docs/examples/entry-1.toml',
	import.meta.url,
);

/**
 * Gets the example settings, with one text replaced.
 *
 * @param searchText - The text to replace.
 * @param replacement - The text to insert instead.
 * @returns The settings in TOML.
 * @throws Error if the example does not contain the text to replace.
 */
export function getSettingsText(searchText = '', replacement = ''): string {
	const text = fs.readFileSync(exampleFile, 'utf8');
	if (!text.includes(searchText)) {
		throw new Error(`The example settings do not contain: ${searchText}`);
	}

	return text.replace(searchText, replacement);
}

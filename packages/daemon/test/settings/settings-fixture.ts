/** The committed example of the settings, for tests. */

import fs from 'node:fs';

const file = new URL('../../../../docs/examples/entry-1.toml', import.meta.url);

/**
 * Gets the example settings.
 *
 * @param from - A text to replace.
 * @param to - What to put in its place.
 * @returns The settings in TOML.
 * @throws Error if the text to replace is not there.
 */
export function getSettingsText(from = '', to = ''): string {
	const text = fs.readFileSync(file, 'utf8');
	if (!text.includes(from)) {
		throw new Error(`The example settings lack: ${from}`);
	}

	return text.replace(from, to);
}

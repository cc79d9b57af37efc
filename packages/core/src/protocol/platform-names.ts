/** The names of the values that operators publish on the platform. */

import type {Digest} from '../ids/ids.js';

/** The name of the value that holds the signed manifest. */
export const manifestValueName = 'bundle/manifest';

/**
 * Gets the name of the value that holds a part of a bundle.
 *
 * @param digest - The digest of the part.
 * @returns The name of the value on the platform.
 */
export function getPartValueName(digest: Digest): string {
	return `bundle/part/${digest}`;
}

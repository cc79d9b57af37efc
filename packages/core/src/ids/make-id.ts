/** Makes branded ids from values that were already checked. */

import type {Branded} from './brand.js';

/**
 * Gets the value as a branded id.
 *
 * @param value - The checked primitive.
 * @returns The same value under the wanted brand.
 */
export function makeId<Id extends Branded<string | number, string>>(
	value: Id extends string ? string : number,
): Id {
	return value as unknown as Id;
}

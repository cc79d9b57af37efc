/** Converts validated values to branded ids. */

import type {Branded} from './branded.js';

/**
 * Converts a value to a branded id without validating it.
 *
 * @param value - The validated primitive.
 * @returns The same value with the branded type.
 */
export function makeId<Id extends Branded<string | number, string>>(
	value: Id extends string ? string : number,
): Id {
	return value as unknown as Id;
}

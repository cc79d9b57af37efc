/** Draws from a list. */

import type {RandomSource} from '@bilberryscale/core';

/**
 * Draws an item.
 *
 * @param items - The items; must not be empty.
 * @param random - The random source.
 * @returns One of the items, each with equal chance.
 */
export function getRandomItem<Item>(
	items: readonly Item[],
	random: RandomSource,
): Item {
	return items[Math.floor(random() * items.length)]!;
}

/** Uniform random selection. */

import type {RandomSource} from '@bilberryscale/core';

/**
 * Picks an item uniformly at random.
 *
 * @param items - The items to pick from; must not be empty.
 * @param random - The random source.
 * @returns The picked item.
 */
export function getRandomItem<Item>(
	items: readonly Item[],
	random: RandomSource,
): Item {
	return items[Math.floor(random() * items.length)]!;
}

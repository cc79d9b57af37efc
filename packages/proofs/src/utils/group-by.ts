/** Groups items by a key. */

/**
 * Groups items by a key, in the order in which the keys first appear.
 *
 * @param items - The items to group.
 * @param getKey - Gets the key of an item.
 * @returns The items of each key.
 */
export function groupBy<Item>(
	items: readonly Item[],
	getKey: (item: Item) => string,
): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}

/** Groups items by a name. */

/**
 * Groups items by a name, in the order of first appearance.
 *
 * @param items - The items.
 * @param getName - Gets the name of an item.
 * @returns The items of each name.
 */
export function groupBy<Item>(
	items: readonly Item[],
	getName: (item: Item) => string,
): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const name = getName(item);
		const group = groups.get(name);
		if (group === undefined) {
			groups.set(name, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}

/** A set with constant-time access by index, for random selection. */

/** A set that also keeps its items in an array, in no particular order. */
export class IndexedSet<Item> {
	readonly #items: Item[] = [];
	readonly #positions = new Map<Item, number>();

	/** A live view of the items; it changes with the set. */
	get items(): readonly Item[] {
		return this.#items;
	}

	/** The number of items. */
	get size(): number {
		return this.#items.length;
	}

	/**
	 * Adds an item unless the set already contains it.
	 *
	 * @param item - The item.
	 */
	add(item: Item): void {
		if (!this.#positions.has(item)) {
			this.#positions.set(item, this.#items.length);
			this.#items.push(item);
		}
	}

	/**
	 * Removes an item.
	 *
	 * @param item - The item.
	 * @returns Whether the set contained it.
	 */
	remove(item: Item): boolean {
		const position = this.#positions.get(item);
		if (position === undefined) {
			return false;
		}

		const last = this.#items.pop()!;
		this.#positions.delete(item);
		if (last !== item) {
			this.#items[position] = last;
			this.#positions.set(last, position);
		}

		return true;
	}
}

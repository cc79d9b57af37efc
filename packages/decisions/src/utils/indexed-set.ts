/** A set that can be drawn from by index in constant time. */

/** A set whose items also stand in an array, in no particular order. */
export class IndexedSet<Item> {
	readonly #items: Item[] = [];
	readonly #positions = new Map<Item, number>();

	/** Gets the items; the array changes with the set. */
	get items(): readonly Item[] {
		return this.#items;
	}

	/** Gets how many items there are. */
	get size(): number {
		return this.#items.length;
	}

	/**
	 * Adds an item; does nothing if it is there already.
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
	 * @returns Whether it was there.
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

/** A priority queue. */

/** A binary heap; the item with the least key comes first. */
export class BinaryHeap<Item> {
	readonly #items: Item[] = [];
	readonly #getKey: (item: Item) => number;

	/**
	 * @param getKey - Gets the key of an item, which must not change.
	 */
	constructor(getKey: (item: Item) => number) {
		this.#getKey = getKey;
	}

	/**
	 * Adds an item.
	 *
	 * @param item - The item.
	 */
	push(item: Item): void {
		this.#items.push(item);
		this.#rise(this.#items.length - 1);
	}

	/** Gets the first item, if any. */
	peek(): Item | undefined {
		return this.#items[0];
	}

	/** Removes the first item and gets it, if any. */
	pop(): Item | undefined {
		const first = this.#items[0];
		const last = this.#items.pop();
		if (last !== undefined && this.#items.length > 0) {
			this.#items[0] = last;
			this.#sink();
		}

		return first;
	}

	#rise(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#sink(): void {
		let index = 0;
		for (;;) {
			const child = this.#getLesserChild(index);
			if (child === undefined || !this.#isBefore(child, index)) {
				return;
			}

			this.#swap(index, child);
			index = child;
		}
	}

	#getLesserChild(index: number): number | undefined {
		const left = 2 * index + 1;
		const right = left + 1;
		if (left >= this.#items.length) {
			return undefined;
		}

		return right < this.#items.length && this.#isBefore(right, left)
			? right
			: left;
	}

	#isBefore(first: number, second: number): boolean {
		return (
			this.#getKey(this.#items[first]!) < this.#getKey(this.#items[second]!)
		);
	}

	#swap(first: number, second: number): void {
		const item = this.#items[first]!;
		this.#items[first] = this.#items[second]!;
		this.#items[second] = item;
	}
}

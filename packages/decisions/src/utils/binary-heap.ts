/** A priority queue backed by a binary min-heap. */

/** A binary min-heap: `peek` and `pop` return the item with the smallest key. */
export class BinaryHeap<Item> {
	readonly #items: Item[] = [];
	readonly #getKey: (item: Item) => number;

	/**
	 * @param getKey - Returns the key of an item. The key must not change while
	 * the item is in the heap.
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
		this.#siftUp(this.#items.length - 1);
	}

	/** Returns the item with the smallest key, if any. */
	peek(): Item | undefined {
		return this.#items[0];
	}

	/** Removes and returns the item with the smallest key, if any. */
	pop(): Item | undefined {
		const first = this.#items[0];
		const last = this.#items.pop();
		if (last !== undefined && this.#items.length > 0) {
			this.#items[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftUp(start: number): void {
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

	#siftDown(): void {
		let index = 0;
		for (;;) {
			const child = this.#getSmallerChild(index);
			if (child === undefined || !this.#isBefore(child, index)) {
				return;
			}

			this.#swap(index, child);
			index = child;
		}
	}

	#getSmallerChild(index: number): number | undefined {
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

/** Stores published values and can serve a frozen, stale copy of them. */

/** Published content and its revision. */
export type PublishedEntry = {
	readonly revision: number;
	readonly content: unknown;
};

/** Published content by key. Revisions increase across all keys. */
export class PublishedValues {
	readonly #entries = new Map<string, PublishedEntry>();
	#frozenEntries: ReadonlyMap<string, PublishedEntry> | undefined;
	#revision = 0;

	/** Checks whether readers get frozen content. */
	get isStale(): boolean {
		return this.#frozenEntries !== undefined;
	}

	/**
	 * Freezes the content that readers get, or serves new content again.
	 *
	 * @param isStale - Whether to freeze the current content.
	 */
	setStale(isStale: boolean): void {
		this.#frozenEntries = isStale ? new Map(this.#entries) : undefined;
	}

	/**
	 * Publishes content under a new revision.
	 *
	 * @param key - The key of the content.
	 * @param content - The content to publish.
	 */
	set(key: string, content: unknown): void {
		this.#revision++;
		this.#entries.set(key, {revision: this.#revision, content});
	}

	/**
	 * Gets the content that readers get for a key.
	 *
	 * @param key - The key of the content.
	 * @returns The content and its revision; undefined if there is none.
	 */
	get(key: string): PublishedEntry | undefined {
		return (this.#frozenEntries ?? this.#entries).get(key);
	}
}

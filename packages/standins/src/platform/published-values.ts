/** What operators published, also as a stale reader sees it. */

/** Some content and its revision. */
export type PublishedEntry = {
	readonly revision: number;
	readonly content: unknown;
};

/** Published content by its key. */
export class PublishedValues {
	readonly #entries = new Map<string, PublishedEntry>();
	#frozenEntries: ReadonlyMap<string, PublishedEntry> | undefined;
	#revision = 0;

	/** Tells whether readers see what was published before. */
	get isStale(): boolean {
		return this.#frozenEntries !== undefined;
	}

	/**
	 * Freezes what readers see, or lets them see everything again.
	 *
	 * @param isStale - Whether it is frozen from now on.
	 */
	setStale(isStale: boolean): void {
		this.#frozenEntries = isStale ? new Map(this.#entries) : undefined;
	}

	/**
	 * Publishes content.
	 *
	 * @param key - The key.
	 * @param content - The content.
	 */
	set(key: string, content: unknown): void {
		this.#revision++;
		this.#entries.set(key, {revision: this.#revision, content});
	}

	/**
	 * Gets what a reader sees.
	 *
	 * @param key - The key.
	 * @returns The content, if there is any.
	 */
	get(key: string): PublishedEntry | undefined {
		return (this.#frozenEntries ?? this.#entries).get(key);
	}
}

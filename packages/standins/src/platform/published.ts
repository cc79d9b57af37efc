/** What operators published, also as a stale reader sees it. */

/** Some content and its revision. */
export type Versioned = {
	readonly revision: number;
	readonly content: unknown;
};

/** Published content by its key. */
export class Published {
	readonly #current = new Map<string, Versioned>();
	#stale: ReadonlyMap<string, Versioned> | undefined;
	#revision = 0;

	/** Tells whether readers see what was published before. */
	get isStale(): boolean {
		return this.#stale !== undefined;
	}

	/**
	 * Freezes what readers see, or lets them see everything again.
	 *
	 * @param isStale - Whether it is frozen from now on.
	 */
	setStale(isStale: boolean): void {
		this.#stale = isStale ? new Map(this.#current) : undefined;
	}

	/**
	 * Publishes content.
	 *
	 * @param key - The key.
	 * @param content - The content.
	 */
	set(key: string, content: unknown): void {
		this.#revision++;
		this.#current.set(key, {revision: this.#revision, content});
	}

	/**
	 * Gets what a reader sees.
	 *
	 * @param key - The key.
	 * @returns The content, if there is any.
	 */
	get(key: string): Versioned | undefined {
		return (this.#stale ?? this.#current).get(key);
	}
}

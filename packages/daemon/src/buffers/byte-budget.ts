/** Bounds the memory that the messages of all connections together may hold. */

/** The part of a budget that one request holds, with its response. */
export type ByteLease = {
	/**
	 * Changes how much the request holds.
	 *
	 * @param bytes - How much more memory, in bytes; negative for less.
	 */
	readonly add: (bytes: number) => void;
	/** Gives back all that the request holds. */
	readonly release: () => void;
};

type Holder = {
	bytes: number;
	readonly onRevoked: () => void;
};

/** A request that holds less is revoked only if none holds more, in bytes. */
const costlyBytes = 65_536;
const scarceShare = 0.5;
const defaultLimitBytes = 16_777_216;

/** Revokes the newest costly request when all together exceed a limit. */
export class ByteBudget {
	/** The limit, in bytes. */
	limitBytes: number;
	#heldBytes = 0;
	#revokedCount = 0;
	/** In the order in which they began. */
	readonly #holders = new Set<Holder>();

	/**
	 * @param limitBytes - The limit, in bytes.
	 */
	constructor(limitBytes = defaultLimitBytes) {
		this.limitBytes = limitBytes;
	}

	/** The memory that all requests hold, in bytes. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Whether so much of the memory is held that requests should hold less of it. */
	get isScarce(): boolean {
		return this.#heldBytes > this.limitBytes * scarceShare;
	}

	/** How many requests were revoked. */
	get revokedCount(): number {
		return this.#revokedCount;
	}

	/**
	 * Begins to account for a request.
	 *
	 * @param onRevoked - Called at most once, when the limit is exceeded and the request has to give up what it holds.
	 * @returns The lease of the request, which holds nothing yet.
	 */
	lease(onRevoked: () => void): ByteLease {
		const holder: Holder = {bytes: 0, onRevoked};
		this.#holders.add(holder);
		return {
			add: (bytes) => {
				if (this.#holders.has(holder)) {
					holder.bytes += bytes;
					this.#heldBytes += bytes;
					this.#enforce();
				}
			},
			release: () => {
				this.#remove(holder);
			},
		};
	}

	#remove(holder: Holder): void {
		if (this.#holders.delete(holder)) {
			this.#heldBytes -= holder.bytes;
		}
	}

	#enforce(): void {
		while (this.#heldBytes > this.limitBytes) {
			const holders = [...this.#holders].filter(({bytes}) => bytes > 0);
			const newest =
				holders.findLast(({bytes}) => bytes >= costlyBytes) ?? holders.at(-1);
			if (newest === undefined) {
				return;
			}

			this.#remove(newest);
			this.#revokedCount++;
			newest.onRevoked();
		}
	}
}

/** The budget of this process. */
export const processByteBudget = new ByteBudget();

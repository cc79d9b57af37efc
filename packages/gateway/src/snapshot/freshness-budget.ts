/** Divides the time within which a published change must be in force among the steps on its way to a host. */

/** Published bounds on the knowledge of a host. */
export type FreshnessBounds = {
	/** Maximum time from the publication of a change until it is in force, in milliseconds. */
	readonly maxChangeDelayMs: number;
	/** How long after a disruption the bounds hold again, in milliseconds. */
	readonly recoveryMs: number;
};

/** Shares of the maximum delay of a change. */
const shares = {
	/** The age at which a host that watches the store has its snapshot confirmed. */
	refresh: 0.25,
	/** The age from which a snapshot of another host is no longer accepted. */
	maxPeerAge: 0.325,
	/** The ages at which the first hosts of a data centre read the store directly, by rank. */
	directReadByRank: [0.275, 0.3, 0.325],
	/** The age at which all others do. */
	directRead: 0.375,
	/** The delay between two reads. */
	coalescing: 0.06,
};
const maxCoalescingDelayMs = 120;
/** A shorter bound is served as this one, since reads take time themselves. */
const minChangeDelayMs = 100;
const minStoreRetryDelayMs = 100;
/** The time for a read of the store that fails and for the next one, in milliseconds. */
const storeReadMs = 500;

/**
 * Derives ages and waits from the published bounds.
 *
 * @remarks A host whose snapshot nothing has confirmed for the age of a direct read asks
 * the store itself, whatever it waits for. That is at most 0.375 of the bound; if the
 * store responds within 0.125 of it, a change is in force after half of the bound. No
 * other wait adds to this sum, so that it holds for any number of hosts that fail at once.
 * The first hosts of a data centre ask a little earlier than the others, which learn from
 * them and then need not ask.
 */
export class FreshnessBudget {
	readonly #getBounds: () => FreshnessBounds;

	/**
	 * @param getBounds - Gets the bounds in force, which may change.
	 */
	constructor(getBounds: () => FreshnessBounds) {
		this.#getBounds = getBounds;
	}

	/** Gets the maximum time from the publication of a change until it is in force, in milliseconds. */
	get maxChangeDelayMs(): number {
		return Math.max(minChangeDelayMs, this.#getBounds().maxChangeDelayMs);
	}

	/** Gets the age at which a watch of the store ends, in milliseconds. */
	get refreshAgeMs(): number {
		return this.maxChangeDelayMs * shares.refresh;
	}

	/** Gets the maximum age of another host's snapshot that is accepted, in milliseconds. */
	get maxPeerAgeMs(): number {
		return this.maxChangeDelayMs * shares.maxPeerAge;
	}

	/** Gets the delay between two reads, so that changes in quick succession are read together, in milliseconds. */
	get coalescingDelayMs(): number {
		return Math.min(
			maxCoalescingDelayMs,
			this.maxChangeDelayMs * shares.coalescing,
		);
	}

	/**
	 * Gets the longest delay between two reads of a store that is down, in
	 * milliseconds, so that a host has read it again when the bounds hold again.
	 */
	get maxStoreRetryDelayMs(): number {
		return Math.max(
			minStoreRetryDelayMs,
			this.#getBounds().recoveryMs - storeReadMs,
		);
	}

	/**
	 * Gets the age of the snapshot at which a host reads the store directly.
	 *
	 * @param rank - The position of the host among those of its data centre, from 0.
	 * @returns The age in milliseconds.
	 */
	getDirectReadAgeMs(rank: number): number {
		return (
			this.maxChangeDelayMs *
			(shares.directReadByRank[rank] ?? shares.directRead)
		);
	}
}

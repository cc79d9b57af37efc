/** Remembers the other hosts, among which allotment owners are ranked and shared limits are divided. */

import type {Clock} from '@bilberryscale/core';
import type {HostPlace} from '../limits/get-rate-share.js';

/** This host and the members that it knows by gossip. */
export type HostDirectoryOptions = {
	readonly clock: Clock;
	/** The IP address of this host. */
	readonly self: string;
	/** Gets the hosts that gossip has brought lately; the same array until one is added or removed. */
	readonly getPeers: () => ReadonlyArray<Pick<HostPlace, 'address'>>;
};

/** A host and how long ago there was evidence of it, in seconds. */
export type HostListEntry = readonly [address: string, ageSeconds: number];

/**
 * How long a host is remembered, in milliseconds. Gossip alone forgets a fifth of 312 living hosts, as it mentions them
 * too rarely; and the hosts on the other side of a partition must still count, or both sides would use the whole limit.
 */
const memoryMs = 300_000;
/**
 * Maximum age of the evidence of a host that counts as up, in milliseconds. It is much shorter than the memory, so that
 * the smaller side of a partition notices it before the larger side forgets that one.
 */
const recentMs = 150_000;
/** Interval at which the members known by gossip are read again, in milliseconds. */
const refreshIntervalMs = 10_000;
const msPerSecond = 1000;
/** Further hosts are ignored. */
const maxHosts = 2048;

/** The other hosts that were known within the last five minutes, or longer while most of them are silent. */
export class HostDirectory {
	readonly #options: HostDirectoryOptions;
	/** When there was last evidence of each host, on the monotonic clock. */
	readonly #seenAtMs = new Map<string, number>();
	#peers: ReadonlyArray<Pick<HostPlace, 'address'>> | undefined;
	#refreshedAtMs = Number.NEGATIVE_INFINITY;
	#hosts: readonly string[] | undefined;

	/**
	 * @param options - This host and the members that it knows.
	 */
	constructor(options: HostDirectoryOptions) {
		this.#options = options;
	}

	/**
	 * Gets the addresses of the other hosts.
	 *
	 * @returns The same array until a host is added or forgotten.
	 */
	getHosts(): readonly string[] {
		this.#refresh();
		this.#hosts ??= [...this.#seenAtMs.keys()];
		return this.#hosts;
	}

	/**
	 * Gets the hosts with the age of the evidence.
	 *
	 * @returns The entries, for another host.
	 */
	getList(): readonly HostListEntry[] {
		this.#refresh();
		const nowMs = this.#options.clock.monotonicMs();
		return [...this.#seenAtMs].map(([address, seenAtMs]) => [
			address,
			Math.round((nowMs - seenAtMs) / msPerSecond),
		]);
	}

	/** Whether this host and those of which there was evidence lately are more than half of all. */
	get hasMajority(): boolean {
		this.#refresh();
		return this.#hasMajority();
	}

	/**
	 * Adds a host.
	 *
	 * @param address - Its address.
	 * @param ageSeconds - How long ago there was evidence of it, in seconds.
	 */
	add(address: string, ageSeconds = 0): void {
		const seenAtMs =
			this.#options.clock.monotonicMs() - ageSeconds * msPerSecond;
		const previousMs = this.#seenAtMs.get(address);
		const isRefused =
			previousMs === undefined && this.#seenAtMs.size >= maxHosts;
		if (
			isRefused ||
			address === this.#options.self ||
			ageSeconds * msPerSecond > memoryMs
		) {
			return;
		}

		this.#seenAtMs.set(address, Math.max(seenAtMs, previousMs ?? seenAtMs));
		if (previousMs === undefined) {
			this.#hosts = undefined;
		}
	}

	#refresh(): void {
		const {clock, getPeers} = this.#options;
		const nowMs = clock.monotonicMs();
		const peers = getPeers();
		if (
			peers === this.#peers &&
			nowMs - this.#refreshedAtMs < refreshIntervalMs
		) {
			return;
		}

		this.#peers = peers;
		this.#refreshedAtMs = nowMs;
		for (const {address} of peers) {
			this.add(address);
		}

		// The smaller side of a partition would take itself for the whole fleet.
		if (!this.#hasMajority()) {
			return;
		}

		for (const [address, seenAtMs] of this.#seenAtMs) {
			if (nowMs - seenAtMs > memoryMs) {
				this.#seenAtMs.delete(address);
				this.#hosts = undefined;
			}
		}
	}

	#hasMajority(): boolean {
		const nowMs = this.#options.clock.monotonicMs();
		const recentCount = [...this.#seenAtMs.values()].filter(
			(seenAtMs) => nowMs - seenAtMs <= recentMs,
		).length;
		return 2 * (recentCount + 1) > this.#seenAtMs.size + 1;
	}
}

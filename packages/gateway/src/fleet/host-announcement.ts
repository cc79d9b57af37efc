/** Makes a host that has started known to all others, since gossip takes a minute to do so in a large fleet. */

import type {CancelFunction, Clock} from '@bilberryscale/core';
import type {ContactCheck} from '../accounts/allotment-message.js';
import type {HostDirectory} from './host-directory.js';

/** The hosts and how to send to them. */
export type HostAnnouncementOptions = {
	readonly clock: Clock;
	readonly directory: Pick<HostDirectory, 'getList'>;
	/** Whether this host has no seeds at all, so that no other host can know it. */
	readonly isAlone: boolean;
	/** Whether there are other hosts through which this one gets to know the rest. */
	readonly hasOtherSeeds: () => boolean;
	readonly send: (address: string, message: ContactCheck) => void;
};

/** Time after the start in which hosts that start at the same moment come to know each other, in milliseconds. */
export const discoveryMs = 5000;
const roundMs = 250;
/** Messages in a round, so that a large fleet that starts at once does not delay its requests. */
const messagesPerRound = 40;
/** Time until a host that has not replied gets another message, in milliseconds. */
const repeatMs = 1000;
/** Messages to a host after which it counts as down or out of reach. */
const maxUnansweredCount = 3;
/** Hosts without evidence for longer are probably down, in seconds; gossip names a host for a minute after its last sign of life. */
const maxAgeSeconds = 75;

/** Sends a check to each known host until it has replied, which proves that it knows this host. */
export class HostAnnouncement {
	readonly #options: HostAnnouncementOptions;
	readonly #startedAtMs: number;
	readonly #replied = new Set<string>();
	readonly #sentAtMs = new Map<string, number>();
	/** How many messages each host was sent. */
	readonly #sentCounts = new Map<string, number>();
	#isComplete: boolean;
	#hasReachedAll: boolean;
	#cancel: CancelFunction = () => undefined;

	/**
	 * @param options - The hosts and how to send to them.
	 */
	constructor(options: HostAnnouncementOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
		this.#isComplete = options.isAlone;
		this.#hasReachedAll = options.isAlone;
	}

	/** Whether all hosts that are probably up know this one; stays true, as later hosts announce themselves. */
	get isComplete(): boolean {
		return this.#isComplete;
	}

	/** Whether all hosts know this one that are up and reachable: those that have not replied were sent several messages. */
	get hasReachedAll(): boolean {
		return this.#hasReachedAll;
	}

	/** Starts to send, unless this host is alone. */
	start(): void {
		if (this.#isComplete) {
			return;
		}

		this.#cancel = this.#options.clock.schedule(roundMs, () => {
			this.#runRound();
		});
	}

	/** Stops to send. */
	stop(): void {
		this.#cancel();
	}

	/**
	 * Records that a host has replied to a message of this one.
	 *
	 * @param address - Its address.
	 */
	recordReply(address: string): void {
		this.#replied.add(address);
	}

	#runRound(): void {
		const {clock, directory, hasOtherSeeds, send} = this.#options;
		const nowMs = clock.monotonicMs();
		const list = directory.getList();
		const unaware = list
			.filter(
				([address, ageSeconds]) =>
					ageSeconds <= maxAgeSeconds && !this.#replied.has(address),
			)
			.map(([address]) => address);
		const hasDiscovered =
			(list.length > 0 || !hasOtherSeeds()) &&
			nowMs - this.#startedAtMs >= discoveryMs;
		this.#hasReachedAll ||=
			hasDiscovered &&
			unaware.every(
				(address) => (this.#sentCounts.get(address) ?? 0) > maxUnansweredCount,
			);
		this.#isComplete = hasDiscovered && unaware.length === 0;
		if (this.#isComplete) {
			return;
		}

		const due = unaware.filter(
			(address) =>
				nowMs - (this.#sentAtMs.get(address) ?? Number.NEGATIVE_INFINITY) >=
				repeatMs,
		);
		for (const address of due.slice(0, messagesPerRound)) {
			this.#sentAtMs.set(address, nowMs);
			this.#sentCounts.set(address, (this.#sentCounts.get(address) ?? 0) + 1);
			send(address, {method: 'contact-check', check: 0});
		}

		this.start();
	}
}

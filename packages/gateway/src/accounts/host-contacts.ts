/** Keeps which hosts leave messages unanswered, by direct evidence only. */

import type {Clock} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';

/** How this host checks others. */
export type HostContactsOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Sends a message that the other host answers. */
	readonly sendCheck: (address: string) => void;
	/** Called when a host has become silent. */
	readonly onSilent: () => void;
};

type Silence = {
	/** When the first unanswered message was sent. */
	readonly sinceMs: number;
	/** When the last unanswered message was sent. */
	lastMissedAtMs: number;
};

/** Minimum time between checks of a silent host, in milliseconds; hosts of an earlier version never answer. */
const checkIntervalMs = 1000;
/** Time until a check counts as unanswered, in milliseconds. */
const checkTimeoutMs = 100;
/** Silence counts only while messages of the last few checks are unanswered, in milliseconds. */
const maxEvidenceAgeMs = 3000;

/**
 * Tells silent hosts from others by messages that this host has sent itself. Membership is no evidence here: gossip
 * reaches hosts so late that with 114 of them a third of the living ones count as down.
 */
export class HostContacts {
	readonly #options: HostContactsOptions;
	readonly #silences = new Map<string, Silence>();
	readonly #checkedAtMs = new Map<string, number>();

	/**
	 * @param options - How this host checks others.
	 */
	constructor(options: HostContactsOptions) {
		this.#options = options;
	}

	/** Gets how many hosts count as silent. */
	get silentCount(): number {
		return this.#silences.size;
	}

	/**
	 * Checks whether a host has left messages unanswered and has answered none since.
	 *
	 * @param address - Its address.
	 * @returns Whether it counts as silent.
	 */
	isSilent(address: string): boolean {
		return this.#silences.has(address);
	}

	/**
	 * Gets for how long a host has certainly left messages unanswered.
	 *
	 * @param address - Its address.
	 * @returns The time between the first and the last unanswered message, in milliseconds; 0 without recent evidence.
	 */
	getSilentMs(address: string): number {
		const silence = this.#silences.get(address);
		const nowMs = this.#options.clock.monotonicMs();
		return silence !== undefined &&
			nowMs - silence.lastMissedAtMs <= maxEvidenceAgeMs
			? silence.lastMissedAtMs - silence.sinceMs
			: 0;
	}

	/**
	 * Records that a host has answered a message.
	 *
	 * @param address - Its address.
	 */
	recordReply(address: string): void {
		this.#checkedAtMs.delete(address);
		if (this.#silences.delete(address)) {
			this.#options.log.write('host answers again', {address});
		}
	}

	/**
	 * Records that a host has not answered a message.
	 *
	 * @param address - Its address.
	 * @param sentAtMs - When the message was sent, on the monotonic clock.
	 */
	recordMissed(address: string, sentAtMs: number): void {
		const silence = this.#silences.get(address);
		if (silence === undefined) {
			this.#silences.set(address, {
				sinceMs: sentAtMs,
				lastMissedAtMs: sentAtMs,
			});
			this.#options.onSilent();
			this.#options.log.write('host does not answer', {address});
		} else {
			silence.lastMissedAtMs = Math.max(silence.lastMissedAtMs, sentAtMs);
		}
	}

	/**
	 * Checks whether a host answers, at most once a second.
	 *
	 * @param address - Its address.
	 */
	check(address: string): void {
		const {clock, sendCheck} = this.#options;
		const sentAtMs = clock.monotonicMs();
		const previousAtMs = this.#checkedAtMs.get(address);
		if (
			previousAtMs !== undefined &&
			sentAtMs - previousAtMs < checkIntervalMs
		) {
			return;
		}

		this.#checkedAtMs.set(address, sentAtMs);
		sendCheck(address);
		clock.schedule(checkTimeoutMs, () => {
			if (this.#checkedAtMs.get(address) === sentAtMs) {
				this.recordMissed(address, sentAtMs);
			}
		});
	}

	/** Forgets all silence, as this host was paused and has missed the answers itself. */
	clear(): void {
		this.#silences.clear();
		this.#checkedAtMs.clear();
	}
}

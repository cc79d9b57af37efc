/** Estimates which share of the other hosts this host reaches, by checks of random ones. */

import type {CancelFunction, Clock, RandomSource} from '@bilberryscale/core';

/** The hosts and how to check them. */
export type HostReachOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Gets the addresses of the hosts that count. */
	readonly getHosts: () => readonly string[];
	/** Sends a check, which the other host answers with the same number. */
	readonly sendCheck: (address: string, check: number) => void;
	/** Called when the share has changed by a tenth or more. */
	readonly onChange: (share: number) => void;
};

type Round = {
	readonly unanswered: Set<number>;
	readonly sentCount: number;
};

/** Interval between rounds of checks, in milliseconds. */
const roundMs = 500;
/** Checks in a round while all are answered. */
const usualChecks = 1;
/** Checks in a round after a missing answer, which a partition or a lost datagram may have caused. */
const suspiciousChecks = 4;
/** Checks in the first round, which decides alone for half a second. */
const firstChecks = 8;
/** Rounds that count: 4 s, less than the time after which another host takes over the limit. */
const roundCount = 8;
/** So many rounds without a missing answer end a partition: earlier rounds do not count any more. */
const recoveryRounds = 3;
/** Checks stop when the share was not used for so long, in milliseconds. */
const idleMs = 10_000;
/** Shares that differ by less are not reported. */
const reportedDifference = 0.1;

/** Checks a few random hosts each half second while its result is used. */
export class HostReach {
	readonly #options: HostReachOptions;
	#rounds: Round[] = [];
	#usedAtMs = 0;
	#nextCheck = 0;
	#reportedShare = 1;
	#cancel: CancelFunction | undefined;

	/**
	 * @param options - The hosts and how to check them.
	 */
	constructor(options: HostReachOptions) {
		this.#options = options;
	}

	/**
	 * Gets the share and keeps the checks going.
	 *
	 * @returns The share of the hosts that have answered in the last four seconds, from 0 to 1; 1 before the first half second.
	 */
	getShare(): number {
		this.#usedAtMs = this.#options.clock.monotonicMs();
		if (this.#cancel === undefined) {
			this.#startRound();
		}

		return this.#share;
	}

	/**
	 * Records an answer.
	 *
	 * @param check - The number of the check.
	 */
	recordAnswer(check: number): void {
		for (const {unanswered} of this.#rounds) {
			unanswered.delete(check);
		}
	}

	/** Stops the checks. */
	stop(): void {
		this.#cancel?.();
	}

	/** Drops all rounds, as this host was paused and has missed answers itself. */
	clear(): void {
		this.#rounds = [];
	}

	get #share(): number {
		// The last round is still waiting for its answers.
		const ended = this.#rounds.slice(0, -1);
		const sentCount = ended.reduce((sum, round) => sum + round.sentCount, 0);
		const missedCount = ended.reduce(
			(sum, round) => sum + round.unanswered.size,
			0,
		);
		return sentCount === 0 ? 1 : 1 - missedCount / sentCount;
	}

	#getCheckCount(): number {
		if (this.#rounds.length === 0) {
			return firstChecks;
		}

		return this.#rounds.every(({unanswered}) => unanswered.size === 0)
			? usualChecks
			: suspiciousChecks;
	}

	#startRound(): void {
		const {clock, random, getHosts, sendCheck} = this.#options;
		const hosts = getHosts();
		const unanswered = new Set<number>();
		const sentCount = hosts.length === 0 ? 0 : this.#getCheckCount();
		this.#rounds.push({unanswered, sentCount});
		this.#rounds = this.#rounds.slice(-roundCount - 1);
		for (let sent = 0; sent < sentCount; sent++) {
			this.#nextCheck++;
			unanswered.add(this.#nextCheck);
			sendCheck(hosts[Math.floor(random() * hosts.length)]!, this.#nextCheck);
		}

		this.#cancel = clock.schedule(roundMs, () => {
			this.#endRound();
		});
	}

	#endRound(): void {
		this.#cancel = undefined;
		if (this.#options.clock.monotonicMs() - this.#usedAtMs > idleMs) {
			this.#rounds = [];
			return;
		}

		const latest = this.#rounds.slice(-recoveryRounds);
		if (
			latest.length === recoveryRounds &&
			latest.every(({unanswered}) => unanswered.size === 0)
		) {
			this.#rounds = latest;
		}

		this.#startRound();
		const share = this.#share;
		if (Math.abs(share - this.#reportedShare) >= reportedDifference) {
			this.#reportedShare = share;
			this.#options.onChange(share);
		}
	}
}

/** Executes commands against real lease grantors, holders and guards. */

import {Buffer} from 'node:buffer';
import {
	makeId,
	makeSeededRandom,
	type IdempotencyKey,
} from '@bilberryscale/core';
import {
	BucketSet,
	KeyGenerator,
	getKeyTimestampMs,
	type Bucket,
	type KeyRequest,
	type RunOutcome,
	type LeasePolicy,
} from '../../src/index.js';
import {hostCount, type Command} from './commands.js';
import {ModelHost, getWallTimeMs} from './model-host.js';

/** The configuration of a fleet; each optional flag breaks one safety rule. */
export type Variant = {
	readonly policy: LeasePolicy;
	readonly skipsGracePeriod?: boolean;
	readonly countsLeaseFromReply?: boolean;
	readonly readsClockTwice?: boolean;
};

type Message = {
	readonly dueMs: number;
	readonly host: ModelHost;
	readonly deliver: () => void;
};

type Claim = Extract<Command, {kind: 'claim'}>;
type Submission = Extract<Command, {kind: 'submit'}>;

const bucket = makeId<Bucket>(7);
const bucketSet = new BucketSet([bucket]);
const answer = {status: 200, headers: {}, body: Buffer.alloc(0)};

/** The number of keys that began to run at all, and more than once. */
export type RunCounts = {
	readonly begun: number;
	readonly begunTwice: number;
};

/** A fleet whose hosts compete for a single bucket, which holds all keys. */
export class FleetModel {
	readonly #variant: Variant;
	readonly #hosts = Array.from(
		{length: hostCount},
		(_, index) => new ModelHost(index),
	);

	readonly #keyGenerator = new KeyGenerator(makeSeededRandom(1));
	readonly #keys: IdempotencyKey[] = [];
	readonly #runs = new Map<IdempotencyKey, number>();
	#messages: Message[] = [];
	#nowMs = 0;

	constructor(variant: Variant) {
		this.#variant = variant;
		for (const host of this.#hosts) {
			this.#restart(host);
		}

		this.#advance(2 * variant.policy.leaseMs);
	}

	run(commands: readonly Command[]): RunCounts {
		for (const command of commands) {
			this.#apply(command);
		}

		const counts = [...this.#runs.values()];
		return {
			begun: counts.filter((count) => count > 0).length,
			begunTwice: counts.filter((count) => count > 1).length,
		};
	}

	#apply(command: Command): void {
		switch (command.kind) {
			case 'claim': {
				this.#claim(this.#hosts[command.host]!, command);
				break;
			}

			case 'submit': {
				this.#submit(this.#hosts[command.host]!, command);
				break;
			}

			case 'advance': {
				this.#advance(command.ms);
				break;
			}

			case 'pause': {
				const host = this.#hosts[command.host]!;
				host.pausedUntilMs = this.#nowMs + command.ms;
				break;
			}

			case 'kill': {
				for (const host of this.#hosts) {
					if (isSelected(command.hosts, host)) {
						this.#restart(host);
					}
				}

				break;
			}

			case 'list': {
				const host = this.#hosts[command.host]!;
				host.hasNewList = command.isNew;
				this.#publish(host);
				break;
			}
		}
	}

	#restart(host: ModelHost): void {
		const {policy, skipsGracePeriod} = this.#variant;
		this.#messages = this.#messages.filter((item) => item.host !== host);
		host.restart(this.#nowMs, policy, !skipsGracePeriod);
		this.#publish(host);
	}

	#publish(host: ModelHost): void {
		const unlistedIndex = host.hasNewList ? 0 : hostCount - 1;
		const published = this.#hosts.filter(({index}) => index !== unlistedIndex);
		host.holder.setPublishedHosts(
			published.map(({id}) => id),
			host.getMonotonicMs(this.#nowMs),
		);
	}

	#claim(host: ModelHost, command: Claim): void {
		if (host.pausedUntilMs > this.#nowMs) {
			return;
		}

		if (!command.wantsBucket) {
			host.holder.release(bucketSet, host.sequence);
		}

		host.sequence++;
		for (const grantor of this.#hosts) {
			if (isSelected(command.grantorMask, grantor)) {
				this.#sendClaim(host, grantor, command);
			}
		}

		this.#advance(0);
	}

	#sendClaim(host: ModelHost, grantor: ModelHost, command: Claim): void {
		const {sequence, incarnation} = host;
		const sentAtMs = host.getMonotonicMs(this.#nowMs);
		const wanted = command.wantsBucket ? bucketSet : BucketSet.empty;
		const deliverClaim = () => {
			const granted = grantor.grantor.grant(
				{claimant: incarnation, sequence, wanted},
				grantor.getMonotonicMs(this.#nowMs),
			);
			const deliverReply = () => {
				const nowMs = host.getMonotonicMs(this.#nowMs);
				if (host.incarnation === incarnation) {
					const leaseStartMs = this.#variant.countsLeaseFromReply
						? nowMs
						: sentAtMs;
					host.holder.addGrants(
						{
							grantor: grantor.id,
							sequence,
							sentAtMs: leaseStartMs,
							buckets: granted,
						},
						nowMs,
					);
				}
			};

			this.#send(host, command.replyDelayMs, deliverReply);
			if (command.isDuplicated) {
				this.#send(host, command.replyDelayMs + 700, deliverReply);
			}
		};

		this.#send(grantor, command.delayMs, deliverClaim);
		if (command.isDuplicated) {
			this.#send(grantor, command.delayMs + 900, deliverClaim);
		}
	}

	#send(host: ModelHost, delayMs: number, deliver: () => void): void {
		this.#messages.push({dueMs: this.#nowMs + delayMs, host, deliver});
	}

	#advance(durationMs: number): void {
		const endMs = this.#nowMs + durationMs;
		for (;;) {
			const next = this.#takeNextDue(endMs);
			if (next === undefined) {
				break;
			}

			this.#nowMs = Math.max(this.#nowMs, getDueMs(next));
			next.deliver();
		}

		this.#nowMs = endMs;
	}

	#takeNextDue(endMs: number): Message | undefined {
		const due = this.#messages
			.filter((message) => getDueMs(message) <= endMs)
			.toSorted((a, b) => getDueMs(a) - getDueMs(b));
		this.#messages = this.#messages.filter((message) => message !== due[0]);
		return due[0];
	}

	#submit(host: ModelHost, command: Submission): void {
		if (host.pausedUntilMs > this.#nowMs) {
			return;
		}

		const readMs = host.getMonotonicMs(this.#nowMs);
		const isHeld = host.holder.getLease(bucket, readMs) !== undefined;
		host.pausedUntilMs = this.#nowMs + command.pauseMs;
		this.#send(host, command.pauseMs, () => {
			const key = this.#getKey(command);
			const mayRun = this.#variant.readsClockTwice
				? isHeld && this.#mayRunIgnoringLease(host, key)
				: host.guard.begin(makeRequest(key), readMs).kind === 'run';
			if (mayRun) {
				this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
				this.#finish(host, key, command.outcome);
			}
		});
		this.#advance(0);
	}

	#getKey({keysBack, timestampOffsetMs}: Submission): IdempotencyKey {
		const known = keysBack === 0 ? undefined : this.#keys.at(-keysBack);
		if (known !== undefined) {
			return known;
		}

		const keyTimestampMs = getWallTimeMs(this.#nowMs) + timestampOffsetMs;
		const key = this.#keyGenerator.generate(keyTimestampMs, bucket);
		this.#keys.push(key);
		return key;
	}

	/** Checks everything but the lease against a second clock reading. */
	#mayRunIgnoringLease(host: ModelHost, key: IdempotencyKey): boolean {
		const nowMs = host.getMonotonicMs(this.#nowMs);
		const decision = host.guard.begin(makeRequest(key), nowMs);
		return (
			decision.kind === 'run' ||
			(decision.kind === 'refuse' && decision.failure.kind === 'no-tenure')
		);
	}

	#finish(
		host: ModelHost,
		key: IdempotencyKey,
		outcome: Submission['outcome'],
	): void {
		if (outcome === 'running') {
			return;
		}

		if (outcome === 'not-run') {
			this.#runs.set(key, this.#runs.get(key)! - 1);
		}

		const runOutcome: RunOutcome =
			outcome === 'answered' ? {kind: outcome, answer} : {kind: outcome};
		host.guard.finish(key, runOutcome);
	}
}

function getDueMs({dueMs, host}: Message): number {
	return Math.max(dueMs, host.pausedUntilMs);
}

function isSelected(mask: number, {index}: ModelHost): boolean {
	return Math.floor(mask / 2 ** index) % 2 === 1;
}

function makeRequest(key: IdempotencyKey): KeyRequest {
	return {key, fingerprint: 'same', isNew: false};
}

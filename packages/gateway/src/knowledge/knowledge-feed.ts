/** Keeps a host's knowledge in step with what is published. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {RoutingSnapshot} from '../plan/routing-snapshot.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {ItemReplica} from '../snapshot/item-replica.js';
import type {
	FactDecoder,
	PublishedChanges,
	PublishedReader,
	ReadFault,
} from '../snapshot/snapshot-source.js';
import {SourceHealth} from '../snapshot/source-health.js';

/** What the feed works with. */
export type KnowledgeFeedOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly decode: FactDecoder;
	/**
	 * Gets the sources in the order in which they are to be tried.
	 *
	 * @param hasKnowledge - Whether anything is known yet.
	 */
	readonly getReaders: (hasKnowledge: boolean) => readonly PublishedReader[];
	readonly getHostCount: () => number;
	/** Told when something that decisions depend on has changed. */
	readonly onKnowledge: (knowledge: RoutingSnapshot) => void;
	/** Told once, when what is known does not lag any more. */
	readonly onCaughtUp: () => void;
};

/** Changes that come one after the other are read together after this pause, in milliseconds. */
const pauseMs = 120;
const shortestBackoffMs = 80;
const longestBackoffMs = 400;
/**
 * A peer whose knowledge is older is passed over, in milliseconds: the wait of
 * a watch and of two hosts that read one after the other, with their timeouts.
 */
const oldestPeerAgeMs = 2300;
/** Targets whose entries lapsed with the store are back in this time after its return, in milliseconds. */
const returnMs = 2000;
/** Stands for knowledge that the store does not confirm, in milliseconds. */
const neverMs = 1e9;

/** Reads from the first source that answers. */
export class KnowledgeFeed {
	/** When the store last confirmed what is known, on the monotonic clock. */
	confirmedAtMs = Number.NEGATIVE_INFINITY;
	readonly #options: KnowledgeFeedOptions;
	readonly #publication: ItemReplica;
	readonly #health: SourceHealth;
	readonly #waiters = new Set<() => void>();
	#source: string | undefined;
	#isWholeNeeded = true;
	#mayLag = true;
	/** Whether changes were read after the first items, which may lag. */
	#isCaughtUp = false;
	/** Whether entries may have lapsed unseen while the store was away. */
	#mayHaveMissed = false;
	#holdUntilMs = Number.NEGATIVE_INFINITY;
	#backoffMs = shortestBackoffMs;
	#hasToldReady = false;
	#isStopped = false;

	/**
	 * @param options - The sources and who is told.
	 */
	constructor(options: KnowledgeFeedOptions) {
		this.#options = options;
		this.#health = new SourceHealth(options);
		this.#publication = new ItemReplica({
			decode: options.decode,
			onUnreadable(name, reason) {
				options.log.warn('published item unreadable', {name, reason});
			},
		});
	}

	/** Gets the newest revision that is known. */
	get revision(): number {
		return this.#publication.revision;
	}

	/** Gets how long ago the store confirmed what is known, in milliseconds. */
	get ageMs(): number {
		return this.#options.clock.monotonicMs() - this.confirmedAtMs;
	}

	/** Reads on until the feed is stopped. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const hasRead = await this.#readFromAny();
			const restMs = this.#isCaughtUp ? pauseMs : 0;
			await this.#sleep(hasRead ? restMs : this.#getBackoffMs());
		}
	}

	/** Stops reading. */
	stop(): void {
		this.#isStopped = true;
	}

	/**
	 * Gets what a peer lacks.
	 *
	 * @param revision - The revision that the peer knows; undefined if it knows nothing.
	 * @returns The changes after it.
	 */
	getChangesAfter(revision: number | undefined): PublishedChanges {
		return {
			...this.#publication.getChangesAfter(revision),
			ageMs: this.#health.hasRecentStoreFailure
				? neverMs
				: Math.min(this.ageMs, neverMs),
			holdMs: Math.max(
				0,
				this.#holdUntilMs - this.#options.clock.monotonicMs(),
			),
		};
	}

	/**
	 * Waits for a newer revision.
	 *
	 * @param revision - The revision that is known.
	 * @param waitMs - The longest wait, in milliseconds.
	 */
	async waitForChange(revision: number, waitMs: number): Promise<void> {
		if (this.revision > revision) {
			return;
		}

		await new Promise<void>((resolve) => {
			const end = () => {
				cancel();
				this.#waiters.delete(end);
				resolve();
			};

			const cancel = this.#options.clock.schedule(waitMs, end);
			this.#waiters.add(end);
		});
	}

	async #readFromAny(): Promise<boolean> {
		const readers = this.#options.getReaders(this.revision > 0);
		for (const reader of this.#health.getUsableSources(readers)) {
			if (await this.#readFrom(reader)) {
				return true;
			}
		}

		return false;
	}

	async #readFrom(reader: PublishedReader): Promise<boolean> {
		const startedAtMs = this.#options.clock.monotonicMs();
		const result = this.#isWholeNeeded
			? await reader.readAll(this.#mayLag)
			: await reader.readChanges(
					this.revision,
					this.#isCaughtUp && this.#source === reader.name,
				);
		if (result.isErr()) {
			this.#noteFault(reader, result.error);
			return false;
		}

		if (!reader.isStore && result.value.ageMs > oldestPeerAgeMs) {
			this.#apply(result.value);
			this.#health.recordStale(reader);
			this.#options.metrics.addRead(getKind(reader), 'failed');
			const detail = `its knowledge is ${Math.round(result.value.ageMs)} ms old`;
			this.#forgetSource(reader, detail);
			return false;
		}

		this.#options.metrics.addRead(getKind(reader), 'ok');
		this.#noteSuccess(reader, startedAtMs);
		this.#isCaughtUp ||= !this.#isWholeNeeded || !reader.isStore;
		this.#isWholeNeeded = false;
		this.#mayLag = true;
		this.#apply(result.value);
		this.#tellReady();
		const confirmedAtMs =
			this.#options.clock.monotonicMs() - result.value.ageMs;
		this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
		return true;
	}

	#tellReady(): void {
		if (this.#isCaughtUp && !this.#hasToldReady) {
			this.#hasToldReady = true;
			this.#options.onCaughtUp();
		}
	}

	#apply(changes: PublishedChanges): void {
		const {clock, log, onKnowledge} = this.#options;
		const nowMs = clock.monotonicMs();
		this.#holdUntilMs = Math.max(this.#holdUntilMs, nowMs + changes.holdMs);
		const holdUntilMs =
			this.#holdUntilMs > nowMs ? this.#holdUntilMs : undefined;
		const news = this.#publication.apply(changes, holdUntilMs);
		const expired = this.#publication.removeExpired(nowMs);
		for (const {name, text, revision} of news) {
			log.write('knowledge changed', {
				item: name,
				revision,
				source: this.#source,
				ageMs: Math.round(changes.ageMs),
				outcome: text === undefined ? 'removed' : 'set',
				isHeld: text === undefined && holdUntilMs !== undefined,
			});
		}

		for (const name of expired) {
			log.write('knowledge changed', {
				item: name,
				outcome: 'not back, removed',
			});
		}

		if (news.length > 0 || expired.length > 0) {
			onKnowledge(this.#publication.getSnapshot());
			this.#wakeWaiters();
		}

		this.#scheduleExpiry();
	}

	#wakeWaiters(): void {
		for (const wake of this.#waiters) {
			wake();
		}
	}

	#scheduleExpiry(): void {
		if (!this.#publication.hasRetainedTargets) {
			return;
		}

		const {clock} = this.#options;
		const delayMs = Math.max(0, this.#holdUntilMs - clock.monotonicMs()) + 1;
		clock.schedule(delayMs, () => {
			const expired = this.#publication.removeExpired(clock.monotonicMs());
			if (expired.length > 0) {
				this.#options.log.write('knowledge changed', {
					items: expired,
					outcome: 'not back, removed',
				});
				this.#options.onKnowledge(this.#publication.getSnapshot());
			}
		});
	}

	#noteFault(
		reader: PublishedReader,
		{isHistoryGone, detail}: ReadFault,
	): void {
		const {log, metrics} = this.#options;
		metrics.addRead(getKind(reader), isHistoryGone ? 'history-gone' : 'failed');
		if (isHistoryGone) {
			this.#isWholeNeeded = true;
			this.#mayLag = false;
			log.write('history gone', {source: reader.name, revision: this.revision});
			return;
		}

		this.#mayHaveMissed ||= reader.isStore;
		if (this.#health.recordFailure(reader)) {
			this.#wakeWaiters();
			log.writeState('dependency lost', {dependency: reader.name, detail});
		}

		this.#forgetSource(reader, detail);
	}

	#forgetSource({name, isStore}: PublishedReader, detail: string): void {
		if (this.#source !== name) {
			return;
		}

		this.#source = undefined;
		if (!isStore) {
			this.#options.log.write('knowledge source lost', {source: name, detail});
		}
	}

	#noteSuccess(reader: PublishedReader, startedAtMs: number): void {
		const {clock, log} = this.#options;
		const isBack = this.#health.recordSuccess(reader);
		this.#backoffMs = shortestBackoffMs;
		if (!reader.isStore) {
			this.#mayHaveMissed = false;
		}

		if (isBack) {
			if (this.#mayHaveMissed) {
				this.#holdUntilMs = clock.monotonicMs() + returnMs;
			}

			this.#mayHaveMissed = false;
			log.writeState('dependency regained', {
				dependency: reader.name,
				revision: this.revision,
				tookMs: Math.round(clock.monotonicMs() - startedAtMs),
			});
		}

		if (this.#source !== reader.name) {
			this.#source = reader.name;
			log.writeState('knowledge source chosen', {source: reader.name});
		}
	}

	#getBackoffMs(): number {
		const {random} = this.#options;
		const backoffMs = this.#backoffMs * (0.5 + random());
		this.#backoffMs = Math.min(longestBackoffMs, this.#backoffMs * 2);
		return backoffMs;
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}
}

function getKind({isStore}: PublishedReader): string {
	return isStore ? 'store' : 'peer';
}

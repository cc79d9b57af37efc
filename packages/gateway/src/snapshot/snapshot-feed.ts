/** Keeps a host's routing snapshot up to date with the published items. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {RoutingSnapshot} from '../plan/routing-snapshot.js';
import type {EventLog} from '../records/event-log.js';
import type {SnapshotMetrics} from '../records/snapshot-metrics.js';
import {ChangeWaiters} from './change-waiters.js';
import {Confirmation} from './confirmation.js';
import type {FreshnessBudget} from './freshness-budget.js';
import {FreshnessGuard} from './freshness-guard.js';
import {ItemReplica} from './item-replica.js';
import {SnapshotLog, type UnsuccessfulRead} from './snapshot-log.js';
import {
	unconfirmedAgeMs,
	type ItemDecoder,
	type ItemPreparation,
	type PublishedChanges,
	type SnapshotSource,
	type SourceState,
	type ReadError,
	type StorePosition,
} from './snapshot-source.js';
import {SourceHealth} from './source-health.js';

/** The dependencies and callbacks of the feed. */
export type SnapshotFeedOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: SnapshotMetrics;
	readonly decode: ItemDecoder;
	/** Decodes large items ahead; undefined if the decoder never takes long. */
	readonly prepareItem?: ItemPreparation | undefined;
	/** The address of this host. */
	readonly address: string;
	/**
	 * Gets the sources in the order in which they are to be tried.
	 *
	 * @param state - What the host has read, and which sources it can use.
	 */
	readonly getSources: (state: SourceState) => readonly SnapshotSource[];
	/** A reader of the store that serves a read at once, whatever the sources are waiting for. */
	readonly directStore: SnapshotSource;
	readonly budget: FreshnessBudget;
	/** Gets the position of this host among those of its data centre, from 0. */
	readonly getRank: () => number;
	readonly getHostCount: () => number;
	/** Whether other hosts are configured, which this one will hear of in a moment. */
	readonly expectsPeers: () => boolean;
	/** Called with each new snapshot. */
	readonly onSnapshot: (snapshot: RoutingSnapshot) => void;
	/** Called once, when the snapshot has become current. */
	readonly onCaughtUp: () => void;
};

const minBackoffMs = 80;
const maxBackoffMs = 400;
/** How long a host that has just started waits for other hosts before it watches the store itself, in milliseconds. */
const maxPeerWaitMs = 500;
/** Targets whose entries expired while the store was down register again within this time after its recovery. */
const reregistrationGraceMs = 2000;

/** Reads published items from the first source that answers and builds snapshots of them. */
export class SnapshotFeed {
	readonly #options: SnapshotFeedOptions;
	readonly #replica: ItemReplica;
	readonly #health: SourceHealth;
	readonly #confirmation: Confirmation;
	readonly #guard: FreshnessGuard;
	readonly #waiters: ChangeWaiters;
	readonly #log: SnapshotLog;
	/** How many reads in a row have failed, by source. */
	readonly #failureCounts = new Map<string, number>();
	#currentSource: SnapshotSource | undefined;
	/** Whether the next read must return all items, not only changes. */
	#needsFullRead = true;
	/** Whether the next full read may return stale items. */
	#allowsStaleRead = true;
	/**
	 * Whether the snapshot has become current: by a read from a peer, or by a read of
	 * changes, as the first full read of the store may be stale.
	 */
	#isCaughtUp = false;
	/** Whether entries of targets may have expired unnoticed while the store was down. */
	#mayHaveMissedExpiries = false;
	/** Until when removed targets are kept, on the monotonic clock. */
	#retainUntilMs = Number.NEGATIVE_INFINITY;
	#backoffMs = minBackoffMs;
	#hasReportedCaughtUp = false;
	#isStopped = false;
	#startedAtMs = 0;

	/**
	 * @param options - The dependencies and callbacks.
	 */
	constructor(options: SnapshotFeedOptions) {
		this.#options = options;
		this.#health = new SourceHealth(options);
		this.#confirmation = new Confirmation(options.clock);
		this.#waiters = new ChangeWaiters(options.clock);
		this.#log = new SnapshotLog(options.log, options.clock);
		this.#guard = new FreshnessGuard({
			clock: options.clock,
			getDueMs: () => this.#getDirectReadDueMs(),
			getCheckDelayMs: () => options.budget.refreshAgeMs,
			getReadDelayMs: () => options.budget.coalescingDelayMs,
			read: async () =>
				this.#readSafely(async () => this.#readFrom(options.directStore, 0)),
		});
		this.#replica = new ItemReplica({
			decode: options.decode,
			onUnreadable(name, reason) {
				options.log.warn('published item unreadable', {name, reason});
				options.metrics.recordUnreadableItem();
			},
		});
	}

	/** Gets the newest state of the store that was read. */
	get position(): StorePosition {
		return this.#replica.position;
	}

	/** Gets the time since the store confirmed the snapshot, in milliseconds. */
	get ageMs(): number {
		return this.#confirmation.ageMs;
	}

	/** Gets whether the store has failed this host and no peer has taken its place. */
	get #isCutOff(): boolean {
		const hasPeer = this.#currentSource?.isStore === false;
		return this.#health.hasRecentStoreFailure && !hasPeer;
	}

	/** Reads changes until the feed is stopped. */
	async run(): Promise<void> {
		const {clock, budget} = this.#options;
		this.#startedAtMs = clock.monotonicMs();
		this.#guard.start();
		while (!this.#isStopped) {
			const hasSucceeded = await this.#readSafely(async () =>
				this.#readFromFirstAvailable(),
			);
			const nextReadDelayMs = this.#isCaughtUp ? budget.coalescingDelayMs : 0;
			await this.#sleep(hasSucceeded ? nextReadDelayMs : this.#getBackoffMs());
		}
	}

	/** Stops reading. */
	stop(): void {
		this.#isStopped = true;
		this.#guard.stop();
	}

	/**
	 * Gets the changes that a peer has not seen. Times are whole milliseconds, which take fewer bytes.
	 *
	 * @param position - The state that the peer has; undefined if it has none.
	 * @returns The changes after that state.
	 */
	getChangesAfter(position: StorePosition | undefined): PublishedChanges {
		return {
			...this.#replica.getChangesAfter(position),
			heldMs: 0,
			ageMs: this.#isCutOff
				? unconfirmedAgeMs
				: Math.ceil(Math.min(this.ageMs, unconfirmedAgeMs)),
			via: [this.#options.address, ...this.#confirmation.via],
			viaAgesMs: this.#confirmation.viaAgesMs,
			confirmationCount: this.#confirmation.count,
			holdMs: Math.ceil(
				Math.max(0, this.#retainUntilMs - this.#options.clock.monotonicMs()),
			),
		};
	}

	/**
	 * Waits for a newer state of the store. The wait ends early when the store goes down, so
	 * that peers learn of it at once, and when the snapshot was confirmed again, so that the
	 * age of their snapshots does not grow with each host on the way.
	 *
	 * @param position - The state that the caller has.
	 * @param waitMs - The maximum wait, in milliseconds.
	 * @param confirmationCount - How often the snapshot had been confirmed when the caller read it last; undefined to wait for changes only.
	 * @returns How long it has waited, in milliseconds.
	 */
	async waitForChange(
		{era, revision}: StorePosition,
		waitMs: number,
		confirmationCount?: number,
	): Promise<number> {
		const endsOnConfirmation = confirmationCount !== undefined;
		if (
			this.position.era !== era ||
			this.position.revision > revision ||
			(endsOnConfirmation && confirmationCount !== this.#confirmation.count)
		) {
			return 0;
		}

		return this.#waiters.wait(waitMs, endsOnConfirmation);
	}

	/**
	 * Gets the sources in the order in which they are to be tried. A host that has just started and is
	 * caught up leaves the store to the host that reads it for all: when hundreds of hosts start at once,
	 * each would watch the store before it hears of others.
	 */
	#getSources(): readonly SnapshotSource[] {
		const {clock, getSources, expectsPeers} = this.#options;
		const sources = getSources({
			hasSnapshot: this.position.revision > 0,
			current: this.#currentSource,
			isStoreDown: this.#health.isStoreDown,
			isUsable: (source) => this.#health.isUsable(source),
			getReliability: (source) => this.#health.getReliability(source),
		});
		const isWaitOver = clock.monotonicMs() - this.#startedAtMs >= maxPeerWaitMs;
		if (
			!this.#isCaughtUp ||
			this.#needsFullRead ||
			isWaitOver ||
			!expectsPeers()
		) {
			return sources;
		}

		const peers = sources.filter(({isStore}) => !isStore);
		return sources[0]?.isStore === true && peers.length > 0 ? sources : peers;
	}

	/** Reads a snapshot; an unexpected error counts as a failed read, so that the next one can succeed. */
	async #readSafely(read: () => Promise<boolean>): Promise<boolean> {
		try {
			return await read();
		} catch (error) {
			this.#options.log.warn('snapshot could not be read', {
				cause: (error as Error).stack,
			});
			return false;
		}
	}

	async #readFromFirstAvailable(): Promise<boolean> {
		// While the store is down, only the guard reads it, and no other read waits for it.
		const sources = this.#health.getUsableSources(
			this.#getSources(),
			!this.#isCaughtUp,
		);
		for (const source of sources) {
			const waitMs = this.#getWaitMs(source);
			const isDirect = source.isStore && this.#isCaughtUp && waitMs === 0;
			const hasSucceeded = isDirect
				? await this.#guard.read()
				: await this.#readFrom(source, waitMs);
			if (hasSucceeded) {
				this.#chooseSource(source);
				return true;
			}
		}

		return false;
	}

	/** Gets how long a source may wait for a change: until the snapshot is too old to wait longer. */
	#getWaitMs({name, isStore}: SnapshotSource): number {
		if (!this.#isCaughtUp || this.#currentSource?.name !== name) {
			return 0;
		}

		const {refreshAgeMs, maxPeerAgeMs} = this.#options.budget;
		return Math.max(0, (isStore ? refreshAgeMs : maxPeerAgeMs) - this.ageMs);
	}

	/** Gets when this host must read the store directly, on the monotonic clock, in milliseconds. */
	#getDirectReadDueMs(): number {
		if (!this.#isCaughtUp) {
			return Number.POSITIVE_INFINITY;
		}

		const {budget, getRank} = this.#options;
		const {isStoreDown, isStoreFirst, storeRetryAtMs} = this.#health;
		return isStoreDown && isStoreFirst
			? storeRetryAtMs
			: Math.max(
					this.#confirmation.confirmedAtMs +
						budget.getDirectReadAgeMs(getRank()),
					storeRetryAtMs,
				);
	}

	/** Reads from a source, and returns whether its result confirms the snapshot. */
	async #readFrom(source: SnapshotSource, waitMs: number): Promise<boolean> {
		const startedAtMs = this.#options.clock.monotonicMs();
		const isWholeRead = this.#needsFullRead;
		const result = isWholeRead
			? await source.readAll(this.#allowsStaleRead)
			: await source.readChanges(this.position, waitMs);
		if (result.isErr()) {
			this.#handleReadError(source, result.error, startedAtMs);
			return false;
		}

		await this.#prepareItems(result.value);
		if (result.value.era < this.position.era) {
			this.#skipStaleSource(
				source,
				`it is in era ${result.value.era} of the store, this host in era ${this.position.era}`,
				startedAtMs,
			);
			return false;
		}

		if (result.value.via.includes(this.#options.address)) {
			this.#skipStaleSource(
				source,
				'its snapshot comes from this host',
				startedAtMs,
			);
			return false;
		}

		const ageMs = this.#confirmation.getResultAgeMs(result.value, startedAtMs);
		if (!source.isStore && ageMs > this.#options.budget.maxPeerAgeMs) {
			this.#apply(result.value, source);
			this.#skipStaleSource(
				source,
				`its snapshot is ${Math.round(ageMs)} ms old`,
				startedAtMs,
			);
			return false;
		}

		this.#options.metrics.recordRead(getSourceKind(source), 'ok');
		this.#handleReadSuccess(source, startedAtMs);
		this.#isCaughtUp ||= !isWholeRead || !source.isStore;
		this.#needsFullRead = false;
		this.#allowsStaleRead = true;
		this.#apply(result.value, source);
		this.#reportCaughtUp();
		this.#confirm(result.value, startedAtMs);
		return true;
	}

	#confirm(changes: PublishedChanges, startedAtMs: number): void {
		const formerAgeMs = this.ageMs;
		const isNewer = this.#confirmation.renew(changes, startedAtMs);
		if (!isNewer) {
			return;
		}

		if (Number.isFinite(formerAgeMs)) {
			this.#options.metrics.recordConfirmation(formerAgeMs);
		}

		this.#waiters.notifyConfirmation();
	}

	async #prepareItems({changes}: PublishedChanges): Promise<void> {
		const {prepareItem} = this.#options;
		if (prepareItem === undefined) {
			return;
		}

		for (const {name, text} of changes) {
			if (text !== undefined) {
				await prepareItem(name, text);
			}
		}
	}

	#skipStaleSource(
		source: SnapshotSource,
		detail: string,
		startedAtMs: number,
	): void {
		this.#health.recordStale(source);
		this.#options.metrics.recordRead(getSourceKind(source), 'failed');
		const read = {source, detail, startedAtMs};
		if (this.#currentSource?.name === source.name) {
			this.#dropCurrentSource(read);
		} else {
			this.#log.writeSourceSkipped(read);
		}
	}

	#reportCaughtUp(): void {
		if (this.#isCaughtUp && !this.#hasReportedCaughtUp) {
			this.#hasReportedCaughtUp = true;
			this.#options.onCaughtUp();
		}
	}

	#apply(changes: PublishedChanges, source: SnapshotSource): void {
		const {clock, onSnapshot} = this.#options;
		const nowMs = clock.monotonicMs();
		this.#detectNewEra(changes, nowMs);
		this.#retainUntilMs = Math.max(this.#retainUntilMs, nowMs + changes.holdMs);
		const retainUntilMs =
			this.#retainUntilMs > nowMs ? this.#retainUntilMs : undefined;
		const formerPosition = this.position;
		const newChanges = this.#replica.apply(changes, retainUntilMs);
		const expiredNames = this.#replica.removeExpired(nowMs);
		const read = {source, result: changes, newChanges};
		if (formerPosition.revision === 0) {
			this.#log.writeFirstRead(read, this.position);
		} else {
			this.#log.writeChanges(read, this.ageMs, retainUntilMs !== undefined);
		}

		this.#log.writeExpiries(expiredNames);
		const isNewEra = this.position.era !== formerPosition.era;
		if (newChanges.length > 0 || expiredNames.length > 0 || isNewEra) {
			onSnapshot(this.#replica.getSnapshot());
			this.#waiters.notifyChange();
		}

		this.#scheduleExpiry();
	}

	/** Keeps what an older copy of the store lacks until it has been published again. */
	#detectNewEra(
		{era, revision, isWhole}: PublishedChanges,
		nowMs: number,
	): void {
		const {position} = this;
		if (era <= position.era || !isWhole) {
			return;
		}

		this.#options.metrics.recordStoreEra();
		if (position.revision > 0) {
			this.#retainUntilMs = nowMs + reregistrationGraceMs;
			this.#options.log.writeState('store restored from an older copy', {
				era,
				formerEra: position.era,
				revision,
				formerRevision: position.revision,
			});
		}
	}

	#scheduleExpiry(): void {
		if (!this.#replica.hasRetainedItems) {
			return;
		}

		const {clock} = this.#options;
		const delayMs = Math.max(0, this.#retainUntilMs - clock.monotonicMs()) + 1;
		clock.schedule(delayMs, () => {
			const expiredNames = this.#replica.removeExpired(clock.monotonicMs());
			if (expiredNames.length > 0) {
				this.#options.log.write('knowledge changed', {
					items: expiredNames,
					outcome: 'not back, removed',
				});
				this.#options.onSnapshot(this.#replica.getSnapshot());
			}
		});
	}

	#handleReadError(
		source: SnapshotSource,
		{isHistoryGone, detail, progress}: ReadError,
		startedAtMs: number,
	): void {
		const {log, metrics} = this.#options;
		metrics.recordRead(
			getSourceKind(source),
			isHistoryGone ? 'history-gone' : 'failed',
		);
		if (isHistoryGone) {
			this.#needsFullRead = true;
			this.#allowsStaleRead = false;
			log.write('change history unavailable', {
				source: source.name,
				detail,
				...this.position,
			});
			return;
		}

		const failureCount = (this.#failureCounts.get(source.name) ?? 0) + 1;
		this.#failureCounts.set(source.name, failureCount);
		const read = {source, detail, startedAtMs};
		this.#log.writeFailure(read, progress, failureCount);
		this.#mayHaveMissedExpiries ||= source.isStore;
		if (this.#health.recordFailure(source)) {
			this.#waiters.notifyChange();
			log.writeState('dependency lost', {dependency: source.name, detail});
		}

		this.#dropCurrentSource(read);
	}

	#dropCurrentSource(read: UnsuccessfulRead): void {
		if (this.#currentSource?.name !== read.source.name) {
			return;
		}

		this.#currentSource = undefined;
		if (!read.source.isStore) {
			this.#log.writeSourceLost(read);
		}
	}

	#handleReadSuccess(source: SnapshotSource, startedAtMs: number): void {
		const {clock, log} = this.#options;
		const hasStoreRecovered = this.#health.recordSuccess(source);
		this.#failureCounts.delete(source.name);
		if (!source.isStore) {
			this.#mayHaveMissedExpiries = false;
		}

		if (hasStoreRecovered) {
			if (this.#mayHaveMissedExpiries) {
				this.#retainUntilMs = clock.monotonicMs() + reregistrationGraceMs;
			}

			this.#mayHaveMissedExpiries = false;
			log.writeState('dependency regained', {
				dependency: source.name,
				...this.position,
				tookMs: Math.round(clock.monotonicMs() - startedAtMs),
			});
		}
	}

	#chooseSource(source: SnapshotSource): void {
		this.#backoffMs = minBackoffMs;
		if (this.#currentSource?.name !== source.name) {
			this.#currentSource = source;
			this.#log.writeSourceChosen(source);
		}
	}

	#getBackoffMs(): number {
		const {random} = this.#options;
		const backoffMs = this.#backoffMs * (0.5 + random());
		this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2);
		return backoffMs;
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}
}

function getSourceKind({isStore}: SnapshotSource): string {
	return isStore ? 'store' : 'peer';
}

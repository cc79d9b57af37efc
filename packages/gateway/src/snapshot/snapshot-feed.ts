/** Keeps a host's routing snapshot up to date with the published items. */

import type {Clock, RandomSource} from '@bilberryscale/core';
import type {RoutingSnapshot} from '../plan/routing-snapshot.js';
import type {EventLog} from '../records/event-log.js';
import type {SnapshotMetrics} from '../records/snapshot-metrics.js';
import {Confirmation, getViaAges} from './confirmation.js';
import {ItemReplica} from './item-replica.js';
import {
	unconfirmedAgeMs,
	type ItemDecoder,
	type ItemPreparation,
	type PublishedChanges,
	type SnapshotSource,
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
	 * @param hasSnapshot - Whether anything was read yet.
	 */
	readonly getSources: (hasSnapshot: boolean) => readonly SnapshotSource[];
	readonly getHostCount: () => number;
	/** Whether other hosts are configured, which this one will hear of in a moment. */
	readonly expectsPeers: () => boolean;
	/** Called with each new snapshot. */
	readonly onSnapshot: (snapshot: RoutingSnapshot) => void;
	/** Called once, when the snapshot has become current. */
	readonly onCaughtUp: () => void;
};

/** The delay between two reads, so that changes in quick succession are read together. */
const coalescingDelayMs = 120;
const minBackoffMs = 80;
const maxBackoffMs = 400;
/**
 * A peer whose snapshot is older is skipped. The limit covers the wait of a watch
 * on the store and the waits of two hosts that read in sequence, including their
 * timeouts.
 */
const maxPeerSnapshotAgeMs = 2300;
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
	readonly #waiters = new Set<() => void>();
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
		this.#startedAtMs = this.#options.clock.monotonicMs();
		while (!this.#isStopped) {
			const hasSucceeded = await this.#readSafely();
			const nextReadDelayMs = this.#isCaughtUp ? coalescingDelayMs : 0;
			await this.#sleep(hasSucceeded ? nextReadDelayMs : this.#getBackoffMs());
		}
	}

	/** Stops reading. */
	stop(): void {
		this.#isStopped = true;
	}

	/**
	 * Gets the changes that a peer has not seen.
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
				: Math.min(this.ageMs, unconfirmedAgeMs),
			via: [this.#options.address, ...this.#confirmation.via],
			viaAgesMs: this.#confirmation.viaAgesMs,
			holdMs: Math.max(
				0,
				this.#retainUntilMs - this.#options.clock.monotonicMs(),
			),
		};
	}

	/**
	 * Waits for a newer state of the store. The wait ends early when the store goes down, so
	 * that peers learn of it at once.
	 *
	 * @param position - The state that the caller has.
	 * @param waitMs - The maximum wait, in milliseconds.
	 * @returns How long it has waited, in milliseconds.
	 */
	async waitForChange(
		{era, revision}: StorePosition,
		waitMs: number,
	): Promise<number> {
		if (this.position.era !== era || this.position.revision > revision) {
			return 0;
		}

		const {clock} = this.#options;
		const startedAtMs = clock.monotonicMs();

		await new Promise<void>((resolve) => {
			const finish = () => {
				cancel();
				this.#waiters.delete(finish);
				resolve();
			};

			const cancel = clock.schedule(waitMs, finish);
			this.#waiters.add(finish);
		});
		return clock.monotonicMs() - startedAtMs;
	}

	/**
	 * Gets the sources in the order in which they are to be tried. A host that has just started and is
	 * caught up leaves the store to the host that reads it for all: when hundreds of hosts start at once,
	 * each would watch the store before it hears of others.
	 */
	#getSources(): readonly SnapshotSource[] {
		const {clock, getSources, expectsPeers} = this.#options;
		const sources = getSources(this.position.revision > 0);
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
	async #readSafely(): Promise<boolean> {
		try {
			return await this.#readFromFirstAvailable();
		} catch (error) {
			this.#options.log.warn('snapshot could not be read', {
				cause: (error as Error).stack,
			});
			return false;
		}
	}

	async #readFromFirstAvailable(): Promise<boolean> {
		for (const source of this.#health.getUsableSources(this.#getSources())) {
			if (await this.#readFrom(source)) {
				return true;
			}
		}

		return false;
	}

	async #readFrom(source: SnapshotSource): Promise<boolean> {
		const startedAtMs = this.#options.clock.monotonicMs();
		const result = this.#needsFullRead
			? await source.readAll(this.#allowsStaleRead)
			: await source.readChanges(
					this.position,
					this.#isCaughtUp && this.#currentSource?.name === source.name,
				);
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
		if (!source.isStore && ageMs > maxPeerSnapshotAgeMs) {
			this.#apply(result.value);
			this.#skipStaleSource(
				source,
				`its snapshot is ${Math.round(ageMs)} ms old`,
				startedAtMs,
			);
			return false;
		}

		this.#options.metrics.recordRead(getSourceKind(source), 'ok');
		this.#handleReadSuccess(source, startedAtMs);
		this.#isCaughtUp ||= !this.#needsFullRead || !source.isStore;
		this.#needsFullRead = false;
		this.#allowsStaleRead = true;
		this.#apply(result.value);
		this.#reportCaughtUp();
		this.#confirm(result.value, startedAtMs);
		return true;
	}

	#confirm(changes: PublishedChanges, startedAtMs: number): void {
		const formerAgeMs = this.ageMs;
		const isNewer = this.#confirmation.renew(changes, startedAtMs);
		if (isNewer && Number.isFinite(formerAgeMs)) {
			this.#options.metrics.recordConfirmation(formerAgeMs);
		}
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
		const {log, metrics} = this.#options;
		this.#health.recordStale(source);
		metrics.recordRead(getSourceKind(source), 'failed');
		if (this.#currentSource?.name === source.name) {
			this.#dropCurrentSource(source, detail, startedAtMs);
		} else {
			log.write('knowledge source skipped', {
				source: source.name,
				detail,
				waitedMs: this.#getWaitedMs(startedAtMs),
			});
		}
	}

	/** Gets how long a read has taken, in whole milliseconds. */
	#getWaitedMs(startedAtMs: number): number {
		return Math.round(this.#options.clock.monotonicMs() - startedAtMs);
	}

	#reportCaughtUp(): void {
		if (this.#isCaughtUp && !this.#hasReportedCaughtUp) {
			this.#hasReportedCaughtUp = true;
			this.#options.onCaughtUp();
		}
	}

	#apply(changes: PublishedChanges): void {
		const {clock, log, onSnapshot} = this.#options;
		const nowMs = clock.monotonicMs();
		this.#detectNewEra(changes, nowMs);
		this.#retainUntilMs = Math.max(this.#retainUntilMs, nowMs + changes.holdMs);
		const retainUntilMs =
			this.#retainUntilMs > nowMs ? this.#retainUntilMs : undefined;
		const formerPosition = this.position;
		const newChanges = this.#replica.apply(changes, retainUntilMs);
		const expiredNames = this.#replica.removeExpired(nowMs);
		if (formerPosition.revision === 0) {
			log.writeState('knowledge read for the first time', {
				...this.position,
				items: newChanges.length,
				source: this.#currentSource?.name,
				ageMs: Math.round(changes.ageMs),
				via: changes.via,
				viaAgesMs: getViaAges(changes),
			});
		}

		for (const {name, text, revision} of formerPosition.revision === 0
			? []
			: newChanges) {
			log.write('knowledge changed', {
				item: name,
				revision,
				source: this.#currentSource?.name,
				ageMs: Math.round(changes.ageMs),
				via: changes.via,
				viaAgesMs: getViaAges(changes),
				formerAgeMs: getFiniteAge(this.ageMs),
				outcome: text === undefined ? 'removed' : 'set',
				isHeld: text === undefined && retainUntilMs !== undefined,
			});
		}

		for (const name of expiredNames) {
			log.write('knowledge changed', {
				item: name,
				outcome: 'not back, removed',
			});
		}

		const isNewEra = this.position.era !== formerPosition.era;
		if (newChanges.length > 0 || expiredNames.length > 0 || isNewEra) {
			onSnapshot(this.#replica.getSnapshot());
			this.#notifyWaiters();
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

	#notifyWaiters(): void {
		for (const notify of this.#waiters) {
			notify();
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
		log.write('snapshot read failed', {
			source: source.name,
			detail,
			...progress,
			waitedMs: this.#getWaitedMs(startedAtMs),
			failureCount,
		});
		this.#mayHaveMissedExpiries ||= source.isStore;
		if (this.#health.recordFailure(source)) {
			this.#notifyWaiters();
			log.writeState('dependency lost', {dependency: source.name, detail});
		}

		this.#dropCurrentSource(source, detail, startedAtMs);
	}

	#dropCurrentSource(
		{name, isStore}: SnapshotSource,
		detail: string,
		startedAtMs: number,
	): void {
		if (this.#currentSource?.name !== name) {
			return;
		}

		this.#currentSource = undefined;
		if (!isStore) {
			this.#options.log.write('knowledge source lost', {
				source: name,
				detail,
				waitedMs: this.#getWaitedMs(startedAtMs),
			});
		}
	}

	#handleReadSuccess(source: SnapshotSource, startedAtMs: number): void {
		const {clock, log} = this.#options;
		const hasStoreRecovered = this.#health.recordSuccess(source);
		this.#failureCounts.delete(source.name);
		this.#backoffMs = minBackoffMs;
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

		if (this.#currentSource?.name !== source.name) {
			this.#currentSource = source;
			log.writeState('knowledge source chosen', {source: source.name});
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

/** Gets an age in whole milliseconds; undefined if nothing was confirmed yet. */
function getFiniteAge(ageMs: number): number | undefined {
	return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

function getSourceKind({isStore}: SnapshotSource): string {
	return isStore ? 'store' : 'peer';
}

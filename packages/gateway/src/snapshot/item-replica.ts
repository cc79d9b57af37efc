/** A local replica of the published items, from which routing snapshots are built. */

import type {DataCentreId, TargetId} from '@bilberryscale/core';
import type {RegisteredTarget} from '../plan/registered-target.js';
import type {RoutingPlan} from '../plan/routing-plan.js';
import type {RoutingSnapshot} from '../plan/routing-snapshot.js';
import type {
	ItemDecoder,
	PublishedChange,
	PublishedChanges,
	ItemContent,
	StorePosition,
} from './snapshot-source.js';

type Item = PublishedChange & {
	readonly content: ItemContent | undefined;
};

/** How the replica decodes items and reports those that it cannot decode. */
export type ItemReplicaOptions = {
	readonly decode: ItemDecoder;
	/** Called with each item that cannot be decoded. */
	readonly onUnreadable: (name: string, reason: string) => void;
};

/** How many of the latest changes are kept for peers. */
const maxChangeLogLength = 500;
/**
 * How many characters the kept changes may have. A plan with 10,000 accounts has
 * 1.9 million, and a compressed response of over 4 MB is not read.
 */
const maxChangeLogSize = 2_097_152;
/** Lower than all revisions of the store. */
const beforeFirstRevision = -1;

/**
 * Keeps the newest revision of each item; changes of an older revision are ignored.
 *
 * A full read of a newer era replaces all items. What was known to be over stays
 * so, although the older copy of the store may list it: a removed target, until
 * it publishes a newer entry, and a former version of the plan.
 */
export class ItemReplica {
	/** All changes up to this state of the store are in the replica. */
	position: StorePosition = {era: 0, revision: 0};
	readonly #options: ItemReplicaOptions;
	readonly #items = new Map<string, Item>();
	/** Removed items that may be published again, by item name, and until when they are kept. */
	readonly #retained = new Map<string, number>();
	/** The latest changes, in ascending order of their revisions. */
	#changeLog: PublishedChange[] = [];
	/** The change log is complete after this revision. */
	#changeLogStartRevision = 0;
	#plan: RoutingPlan | undefined;

	/**
	 * @param options - The decoder and the callback for undecodable items.
	 */
	constructor(options: ItemReplicaOptions) {
		this.#options = options;
	}

	/**
	 * Applies changes.
	 *
	 * @param changes - The result of a read.
	 * @param retainUntilMs - Until when removed items are kept, on the monotonic clock; undefined removes them at once.
	 * @returns The changes that were new to the replica, with the removals that a full read implies.
	 */
	apply(
		changes: PublishedChanges,
		retainUntilMs: number | undefined,
	): PublishedChange[] {
		const isNewEra = changes.era > this.position.era;
		const isOutdated =
			changes.era < this.position.era ||
			(isNewEra && !changes.isWhole) ||
			(!isNewEra && changes.isWhole && changes.revision < this.revision);
		if (isOutdated) {
			return [];
		}

		if (isNewEra) {
			this.#startEra(changes);
		}

		const newChanges = changes.changes.filter(
			(change) =>
				this.#isNewer(change) && !(isNewEra && this.#isFormerTarget(change)),
		);
		for (const change of newChanges) {
			this.#setItem(change, retainUntilMs);
		}

		const inferredRemovals = changes.isWhole
			? this.#inferRemovals(changes)
			: [];
		for (const change of inferredRemovals) {
			this.#setItem(change, retainUntilMs, isNewEra);
		}

		this.#appendToChangeLog([...newChanges, ...inferredRemovals], changes);
		this.position = {
			era: changes.era,
			revision: Math.max(this.revision, changes.revision),
		};
		return [...newChanges, ...inferredRemovals];
	}

	/** Gets the newest revision of the current era that was read. */
	get revision(): number {
		return this.position.revision;
	}

	/**
	 * Removes the retained items that were not published again in time.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The names of the removed items.
	 */
	removeExpired(nowMs: number): string[] {
		const expired = [...this.#retained]
			.filter(([, untilMs]) => untilMs <= nowMs)
			.map(([name]) => name);
		for (const name of expired) {
			this.#retained.delete(name);
		}

		return expired;
	}

	/** Gets whether the replica retains removed items. */
	get hasRetainedItems(): boolean {
		return this.#retained.size > 0;
	}

	/**
	 * Builds a snapshot of the current items.
	 *
	 * @returns The snapshot.
	 */
	getSnapshot(): RoutingSnapshot {
		const targets = new Map<TargetId, RegisteredTarget>();
		const drainedDataCentres = new Set<DataCentreId>();
		for (const [name, {content, text}] of this.#items) {
			const isPresent = text !== undefined || this.#retained.has(name);
			if (content?.kind === 'target' && isPresent) {
				targets.set(content.target.id, content.target);
			} else if (content?.kind === 'emptied-data-centre' && isPresent) {
				drainedDataCentres.add(content.dataCentre);
			}
		}

		return {plan: this.#plan, targets, drainedDataCentres};
	}

	/**
	 * Gets the changes that a peer has not seen.
	 *
	 * @param position - The state of the peer's replica; undefined if it has none.
	 * @returns The changes after that state, or all items if it is of another era or the change log does not reach back to it.
	 */
	getChangesAfter(
		position: StorePosition | undefined,
	): Pick<PublishedChanges, 'isWhole' | 'changes' | 'era' | 'revision'> {
		const {era} = this.position;
		if (
			position?.era === era &&
			position.revision >= this.#changeLogStartRevision
		) {
			const {revision} = position;
			return {
				era,
				isWhole: false,
				changes: this.#changeLog.filter((change) => change.revision > revision),
				revision: this.revision,
			};
		}

		const changes = [...this.#items.values()]
			.filter(({text}) => text !== undefined)
			.map(({name, text, revision: itemRevision}) => ({
				name,
				text,
				revision: itemRevision,
			}));
		return {era, isWhole: true, changes, revision: this.revision};
	}

	/** Makes all items older than any revision of the new era, whose revisions may be lower. */
	#startEra({era, revision}: PublishedChanges): void {
		this.position = {era, revision: 0};
		for (const item of this.#items.values()) {
			this.#items.set(item.name, {...item, revision: beforeFirstRevision});
		}

		this.#changeLog = [];
		this.#changeLogStartRevision = revision;
	}

	/** Checks whether the item is an entry of a removed target that it published before its removal. */
	#isFormerTarget({name, text = ''}: PublishedChange): boolean {
		const previous = this.#items.get(name);
		if (
			previous === undefined ||
			previous.text !== undefined ||
			previous.content?.kind !== 'target'
		) {
			return false;
		}

		const {target} = previous.content;
		const decoded = this.#options.decode(name, text).unwrapOr(undefined);
		return (
			decoded?.kind === 'target' &&
			decoded.target.incarnation === target.incarnation &&
			decoded.target.sequence <= target.sequence
		);
	}

	#isNewer({name, revision}: PublishedChange): boolean {
		return revision > (this.#items.get(name)?.revision ?? beforeFirstRevision);
	}

	#inferRemovals({changes, revision}: PublishedChanges): PublishedChange[] {
		const presentNames = new Set(changes.map(({name}) => name));
		return [...this.#items.values()]
			.filter(
				(item) =>
					item.text !== undefined &&
					item.revision <= revision &&
					!presentNames.has(item.name),
			)
			.map(({name}) => ({name, text: undefined, revision}));
	}

	/** Sets or removes an item. Operators' items are retained only if they may be missing from an older copy. */
	#setItem(
		change: PublishedChange,
		retainUntilMs: number | undefined,
		mayBeMissingFromCopy = false,
	): void {
		const previous = this.#items.get(change.name);
		if (change.text === undefined) {
			const isRetained =
				retainUntilMs !== undefined &&
				(previous?.content?.kind === 'target' || mayBeMissingFromCopy);
			if (isRetained) {
				this.#retained.set(change.name, retainUntilMs);
			}

			this.#items.set(change.name, {...change, content: previous?.content});
			return;
		}

		this.#retained.delete(change.name);
		this.#items.set(change.name, {...change, content: this.#decode(change)});
	}

	#decode({name, text = ''}: PublishedChange): ItemContent | undefined {
		const decoded = this.#options.decode(name, text);
		if (decoded.isErr()) {
			this.#options.onUnreadable(name, decoded.error);
			return undefined;
		}

		const content = decoded.value;
		if (
			content?.kind === 'plan' &&
			content.plan.version > (this.#plan?.version ?? -1)
		) {
			this.#plan = content.plan;
		}

		return content;
	}

	#appendToChangeLog(
		newChanges: readonly PublishedChange[],
		{isWhole, revision}: PublishedChanges,
	): void {
		if (isWhole && this.revision === 0) {
			this.#changeLogStartRevision = revision;
			return;
		}

		this.#changeLog = [...this.#changeLog, ...newChanges].toSorted(
			(a, b) => a.revision - b.revision,
		);
		const surplusCount = countSurplus(this.#changeLog);
		if (surplusCount > 0) {
			this.#changeLogStartRevision =
				this.#changeLog[surplusCount - 1]!.revision;
			this.#changeLog = this.#changeLog.slice(surplusCount);
		}
	}
}

/** Counts the oldest changes that exceed the limits of the change log; the newest one is kept whatever its size. */
function countSurplus(changeLog: readonly PublishedChange[]): number {
	let size = 0;
	let keptCount = 0;
	for (const {text = ''} of changeLog.toReversed()) {
		size += text.length;
		if (
			keptCount === maxChangeLogLength ||
			(size > maxChangeLogSize && keptCount > 0)
		) {
			break;
		}

		keptCount++;
	}

	return changeLog.length - keptCount;
}

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

/** Keeps the newest revision of each item; changes of an older revision are ignored. */
export class ItemReplica {
	/** All changes up to this revision are in the replica. */
	revision = 0;
	readonly #options: ItemReplicaOptions;
	readonly #items = new Map<string, Item>();
	/** Removed targets that may register again, by item name, and until when they are kept. */
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
	 * @param retainUntilMs - Until when removed targets are kept, on the monotonic clock; undefined removes them at once.
	 * @returns The changes that were new to the replica, with the removals that a full read implies.
	 */
	apply(
		changes: PublishedChanges,
		retainUntilMs: number | undefined,
	): PublishedChange[] {
		const isOutdated = changes.isWhole && changes.revision < this.revision;
		if (isOutdated) {
			return [];
		}

		const newChanges = changes.changes.filter((change) =>
			this.#isNewer(change),
		);
		for (const change of newChanges) {
			this.#setItem(change, retainUntilMs);
		}

		const inferredRemovals = changes.isWhole
			? this.#inferRemovals(changes)
			: [];
		for (const change of inferredRemovals) {
			this.#setItem(change, retainUntilMs);
		}

		this.#appendToChangeLog([...newChanges, ...inferredRemovals], changes);
		this.revision = Math.max(this.revision, changes.revision);
		return [...newChanges, ...inferredRemovals];
	}

	/**
	 * Removes the retained targets that did not register again in time.
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

	/** Gets whether the replica retains removed targets. */
	get hasRetainedTargets(): boolean {
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
			if (
				content?.kind === 'target' &&
				(text !== undefined || this.#retained.has(name))
			) {
				targets.set(content.target.id, content.target);
			} else if (
				content?.kind === 'emptied-data-centre' &&
				text !== undefined
			) {
				drainedDataCentres.add(content.dataCentre);
			}
		}

		return {plan: this.#plan, targets, drainedDataCentres};
	}

	/**
	 * Gets the changes that a peer has not seen.
	 *
	 * @param revision - The revision of the peer's replica; undefined if it has none.
	 * @returns The changes after that revision, or all items if the change log does not reach back to it.
	 */
	getChangesAfter(
		revision: number | undefined,
	): Omit<PublishedChanges, 'ageMs' | 'holdMs'> {
		if (revision !== undefined && revision >= this.#changeLogStartRevision) {
			return {
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
		return {isWhole: true, changes, revision: this.revision};
	}

	#isNewer({name, revision}: PublishedChange): boolean {
		return revision > (this.#items.get(name)?.revision ?? -1);
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

	#setItem(change: PublishedChange, retainUntilMs: number | undefined): void {
		const previous = this.#items.get(change.name);
		if (change.text === undefined) {
			const isRetained =
				retainUntilMs !== undefined && previous?.content?.kind === 'target';
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
		const surplusCount = this.#changeLog.length - maxChangeLogLength;
		if (surplusCount > 0) {
			this.#changeLogStartRevision =
				this.#changeLog[surplusCount - 1]!.revision;
			this.#changeLog = this.#changeLog.slice(surplusCount);
		}
	}
}

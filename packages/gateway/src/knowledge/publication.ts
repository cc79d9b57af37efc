/** All published items that a host has heard of, and what they say together. */

import type {DataCentreId, TargetId} from '@bilberryscale/core';
import type {RoutingSnapshot} from '../plan/routing-snapshot.js';
import type {ListedTarget} from '../plan/registered-target.js';
import type {RoutingPlan} from '../plan/routing-plan.js';
import type {
	FactDecoder,
	PublishedChange,
	PublishedChanges,
	PublishedFact,
} from './published-reader.js';

type Item = PublishedChange & {
	readonly fact: PublishedFact | undefined;
};

/** What the publication works with. */
export type PublicationOptions = {
	readonly decode: FactDecoder;
	/** Told of an item that cannot be read. */
	readonly onUnreadable: (name: string, reason: string) => void;
};

/** How many changes are kept for peers. */
const keptChanges = 500;

/** Keeps the newest revision of each item; nothing goes back to an older one. */
export class Publication {
	/** Everything up to this revision is known. */
	revision = 0;
	readonly #options: PublicationOptions;
	readonly #items = new Map<string, Item>();
	/** Removed targets that may come back, and until when they are kept. */
	readonly #held = new Map<string, number>();
	#log: PublishedChange[] = [];
	#logStart = 0;
	#plan: RoutingPlan | undefined;

	/**
	 * @param options - How items are read.
	 */
	constructor(options: PublicationOptions) {
		this.#options = options;
	}

	/**
	 * Takes in changes.
	 *
	 * @param changes - The changes.
	 * @param holdUntilMs - Until when removed targets are kept; undefined removes them at once.
	 * @returns The changes that were news.
	 */
	apply(
		changes: PublishedChanges,
		holdUntilMs: number | undefined,
	): PublishedChange[] {
		const isOld = changes.isWhole && changes.revision < this.revision;
		if (isOld) {
			return [];
		}

		const news = changes.changes.filter((change) => this.#isNews(change));
		for (const change of news) {
			this.#set(change, holdUntilMs);
		}

		const missing = changes.isWhole ? this.#getMissing(changes) : [];
		for (const change of missing) {
			this.#set(change, holdUntilMs);
		}

		this.#addToLog([...news, ...missing], changes);
		this.revision = Math.max(this.revision, changes.revision);
		return [...news, ...missing];
	}

	/**
	 * Removes the targets that did not come back in time.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The names of the removed items.
	 */
	dropExpired(nowMs: number): string[] {
		const expired = [...this.#held]
			.filter(([, untilMs]) => untilMs <= nowMs)
			.map(([name]) => name);
		for (const name of expired) {
			this.#held.delete(name);
		}

		return expired;
	}

	/** Gets whether removed targets are kept for a while. */
	get hasHeld(): boolean {
		return this.#held.size > 0;
	}

	/**
	 * Gets what all items say together.
	 *
	 * @returns The knowledge.
	 */
	getKnowledge(): RoutingSnapshot {
		const targets = new Map<TargetId, ListedTarget>();
		const emptied = new Set<DataCentreId>();
		for (const [name, {fact, text}] of this.#items) {
			if (
				fact?.kind === 'target' &&
				(text !== undefined || this.#held.has(name))
			) {
				targets.set(fact.target.id, fact.target);
			} else if (fact?.kind === 'emptied-data-centre' && text !== undefined) {
				emptied.add(fact.dataCentre);
			}
		}

		return {plan: this.#plan, targets, drainedDataCentres: emptied};
	}

	/**
	 * Gets what a peer lacks.
	 *
	 * @param revision - The revision that the peer knows; undefined if it knows nothing.
	 * @returns The changes after it, or all items if the changes are not kept any more.
	 */
	getChangesAfter(
		revision: number | undefined,
	): Omit<PublishedChanges, 'ageMs' | 'holdMs'> {
		if (revision !== undefined && revision >= this.#logStart) {
			return {
				isWhole: false,
				changes: this.#log.filter((change) => change.revision > revision),
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

	#isNews({name, revision}: PublishedChange): boolean {
		return revision > (this.#items.get(name)?.revision ?? -1);
	}

	#getMissing({changes, revision}: PublishedChanges): PublishedChange[] {
		const present = new Set(changes.map(({name}) => name));
		return [...this.#items.values()]
			.filter(
				(item) =>
					item.text !== undefined &&
					item.revision <= revision &&
					!present.has(item.name),
			)
			.map(({name}) => ({name, text: undefined, revision}));
	}

	#set(change: PublishedChange, holdUntilMs: number | undefined): void {
		const former = this.#items.get(change.name);
		if (change.text === undefined) {
			const isHeld =
				holdUntilMs !== undefined && former?.fact?.kind === 'target';
			if (isHeld) {
				this.#held.set(change.name, holdUntilMs);
			}

			this.#items.set(change.name, {...change, fact: former?.fact});
			return;
		}

		this.#held.delete(change.name);
		this.#items.set(change.name, {...change, fact: this.#decode(change)});
	}

	#decode({name, text = ''}: PublishedChange): PublishedFact | undefined {
		const decoded = this.#options.decode(name, text);
		if (decoded.isErr()) {
			this.#options.onUnreadable(name, decoded.error);
			return undefined;
		}

		const fact = decoded.value;
		if (
			fact?.kind === 'plan' &&
			fact.plan.version > (this.#plan?.version ?? -1)
		) {
			this.#plan = fact.plan;
		}

		return fact;
	}

	#addToLog(
		news: readonly PublishedChange[],
		{isWhole, revision}: PublishedChanges,
	): void {
		if (isWhole && this.revision === 0) {
			this.#logStart = revision;
			return;
		}

		this.#log = [...this.#log, ...news].toSorted(
			(a, b) => a.revision - b.revision,
		);
		const surplus = this.#log.length - keptChanges;
		if (surplus > 0) {
			this.#logStart = this.#log[surplus - 1]!.revision;
			this.#log = this.#log.slice(surplus);
		}
	}
}

/** Where published knowledge is read: the platform's store, or a peer that reads it. */

import type {DataCentreId} from '@bilberryscale/core';
import type {Result} from 'ts-results-es';
import type {ListedTarget} from '../plan/registered-target.js';
import type {RoutingPlan} from '../plan/routing-plan.js';

/** A published item at one revision; without a text it was removed. */
export type PublishedChange = {
	readonly name: string;
	readonly text: string | undefined;
	readonly revision: number;
};

/** What a read gives. */
export type PublishedChanges = {
	/** Whether these are all items that exist, not just the changes. */
	readonly isWhole: boolean;
	readonly changes: readonly PublishedChange[];
	/** Everything up to this revision is in it. */
	readonly revision: number;
	/** How long ago the store has confirmed this, in milliseconds. */
	readonly ageMs: number;
	/** How long removed targets may still come back, in milliseconds. */
	readonly holdMs: number;
};

/** Why a read failed. */
export type ReadFault = {
	/** Whether the changes after the wanted revision are not to be had any more. */
	readonly isHistoryGone: boolean;
	readonly detail: string;
};

/** A source of published knowledge. */
export type PublishedReader = {
	/** Names the source in logs. */
	readonly name: string;
	/** Whether it is the store itself. */
	readonly isStore: boolean;
	/**
	 * Reads all items.
	 *
	 * @param mayLag - Whether the answer may be seconds old, which is cheaper.
	 * @returns The items, or why they can't be had.
	 */
	readAll(mayLag: boolean): Promise<Result<PublishedChanges, ReadFault>>;
	/**
	 * Waits for changes.
	 *
	 * @param revision - The revision that is known.
	 * @param mayWait - Whether to wait if there are none; else the answer comes at once.
	 * @returns The changes after it, none after a while, or why they can't be had.
	 */
	readChanges(
		revision: number,
		mayWait: boolean,
	): Promise<Result<PublishedChanges, ReadFault>>;
};

/** What a published item says. */
export type PublishedFact =
	| {readonly kind: 'plan'; readonly plan: RoutingPlan}
	| {readonly kind: 'target'; readonly target: ListedTarget}
	| {readonly kind: 'emptied-data-centre'; readonly dataCentre: DataCentreId};

/**
 * Reads the text of an item.
 *
 * @param name - The name of the item.
 * @param text - Its text.
 * @returns What it says; undefined if it is none of the system's; or what is wrong.
 */
export type FactDecoder = (
	name: string,
	text: string,
) => Result<PublishedFact | undefined, string>;

/** The sources that snapshots are read from: the platform's store, or a peer that reads it. */

import type {DataCentreId} from '@bilberryscale/core';
import type {Result} from 'ts-results-es';
import type {TransferProgress} from '../edge/fetch-text.js';
import type {RegisteredTarget} from '../plan/registered-target.js';
import type {RoutingPlan} from '../plan/routing-plan.js';

/** An item as of one revision; no text means that it was removed. */
export type PublishedChange = {
	readonly name: string;
	readonly text: string | undefined;
	readonly revision: number;
};

/** A state of the store. */
export type StorePosition = {
	/** Rises each time the store comes back from an older copy; revisions of two eras can't be compared. */
	readonly era: number;
	readonly revision: number;
};

/** The result of a read, which peers exchange as JSON under these names. */
export type PublishedChanges = {
	/** Whether the changes list all existing items, not only those that changed. */
	readonly isWhole: boolean;
	readonly changes: readonly PublishedChange[];
	readonly era: number;
	/** All changes up to this revision are covered. */
	readonly revision: number;
	/** The time since the store confirmed this state, as of the response, in milliseconds. */
	readonly ageMs: number;
	/** How long the source has held the request, so that the response is newer than the request by that, in milliseconds. */
	readonly heldMs: number;
	/** For how long removed targets must still be kept, in milliseconds, as they may register again. */
	readonly holdMs: number;
	/** The hosts that have passed the changes on, the nearest first; none if they come from the store. */
	readonly via: readonly string[];
	/** How old the snapshots of the hosts before the nearest one were when they passed the changes on, in milliseconds. */
	readonly viaAgesMs: readonly number[];
	/** How often the snapshot of the host that responds was confirmed; undefined from the store and from hosts of an earlier version. */
	readonly confirmationCount?: number | undefined;
};

/** The age that is reported for a state which the store has not confirmed, in milliseconds. */
export const unconfirmedAgeMs = 1e9;

/** Why a read failed. */
export type ReadError = {
	/** Whether the source no longer has the changes after the given revision. */
	readonly isHistoryGone: boolean;
	readonly detail: string;
	/** How far the response had come; undefined if none was awaited. */
	readonly progress?: TransferProgress | undefined;
	/** Whether the response was longer than what is read. */
	readonly isOversized?: boolean | undefined;
};

/** A source that published items are read from. */
export type SnapshotSource = {
	/** The name by which logs refer to the source. */
	readonly name: string;
	/** Whether this is the store itself, not a peer. */
	readonly isStore: boolean;
	/**
	 * Reads all items.
	 *
	 * @param allowsStale - Whether the result may be seconds old; such a read is cheaper.
	 * @returns The items, or why the read failed.
	 */
	readAll(allowsStale: boolean): Promise<Result<PublishedChanges, ReadError>>;
	/**
	 * Reads the changes after a state of the store.
	 *
	 * @param position - The state that the caller has.
	 * @param waitMs - How long the source waits for a change if there is none yet, in milliseconds; another host also responds when its snapshot was confirmed again.
	 * @returns The changes, none if the wait times out; all items if the source is in another era; or why the read failed.
	 */
	readChanges(
		position: StorePosition,
		waitMs: number,
	): Promise<Result<PublishedChanges, ReadError>>;
};

/** Whether a peer has failed or was stale: not lately, longer ago, or a short time ago. */
export type PeerReliability = 'reliable' | 'suspect' | 'unreliable';

/** What the order of the sources depends on. */
export type SourceState = {
	/** Whether anything was read yet. */
	readonly hasSnapshot: boolean;
	/** The source that this host reads from; undefined if it failed. */
	readonly current: SnapshotSource | undefined;
	/** Whether the last read of the store failed. */
	readonly isStoreDown: boolean;
	/** Checks whether a peer neither failed nor was stale a short time ago. */
	readonly isUsable: (peer: SnapshotSource) => boolean;
	/** Gets whether a peer may be tried before a source that works. */
	readonly getReliability: (peer: SnapshotSource) => PeerReliability;
};

/** The decoded content of an item. */
export type ItemContent =
	| {readonly kind: 'plan'; readonly plan: RoutingPlan}
	| {readonly kind: 'target'; readonly target: RegisteredTarget}
	| {readonly kind: 'emptied-data-centre'; readonly dataCentre: DataCentreId};

/**
 * Decodes the text of an item.
 *
 * @param name - The name of the item.
 * @param text - Its text.
 * @returns The content, undefined for an item of another system, or the reason why it cannot be decoded.
 */
export type ItemDecoder = (
	name: string,
	text: string,
) => Result<ItemContent | undefined, string>;

/**
 * Decodes the text of a large item in parts, between which the event loop runs,
 * so that the decoder then returns the same result at once.
 *
 * @param name - The name of the item.
 * @param text - Its text.
 * @returns A promise of the end; undefined if the decoder takes no long time for this item.
 */
export type ItemPreparation = (
	name: string,
	text: string,
) => Promise<void> | undefined;

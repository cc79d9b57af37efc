/** What limits the requests of this host to one target while it is cold. */

import type {WarmUpPermit} from './warm-up-permit.js';

/** The limit of one target, as those use it who send requests there. */
export type WarmUpGate = {
	/** Checks whether this host may send a request now. */
	readonly isOpen: () => boolean;
	/** Takes a permit; undefined if there is none now. */
	readonly take: () => WarmUpPermit | undefined;
	/** Gives back a permit with which nothing was sent. */
	readonly giveBack: (permit: WarmUpPermit) => void;
	/** Checks a permit before the request is written, and takes another one if it may no longer be used. */
	readonly confirm: (permit: WarmUpPermit | undefined) => boolean;
	/**
	 * Asks another host for a permit if that may help now.
	 *
	 * @param onGranted - Called when there is one.
	 */
	readonly request: (onGranted: () => void) => void;
	/** Gets the time until a permit may be had, in milliseconds; 0 if that is not known. */
	readonly getWaitMs: () => number;
};

const unlimitedPermit: WarmUpPermit = {askedAtMs: 0, askedAt: new Date(0)};

/** The gate of a target that bears as many requests while it is cold as later. */
export const unlimitedWarmUpGate: WarmUpGate = {
	isOpen: () => true,
	take: () => unlimitedPermit,
	giveBack: () => undefined,
	confirm: () => true,
	request: () => undefined,
	getWaitMs: () => 0,
};

/** The view of the fleet: the published list joined with what was heard. */

import type {HostId, IncarnationId} from '@bilberryscale/core';
import type {PeerAddress} from './peer-address.js';
import type {PeerIdentity, PeerState} from './peer-state.js';

/** A host of the platform's list. */
export type PublishedHost = PeerAddress & {
	readonly isLeaving: boolean;
};

/** A peer that was heard. */
export type Peer = {
	readonly identity: PeerIdentity;
	readonly state: PeerState;
	/** When it was last heard, on the monotonic clock. */
	readonly heardAtMs: number;
};

/** How a view changed. */
export type MembershipChange = {
	readonly host: HostId;
	readonly kind: 'joined' | 'left';
};

/** What a membership works with. */
export type MembershipOptions = {
	readonly self: PeerIdentity;
	/** How long a peer may be silent, in milliseconds. */
	readonly silenceMs: number;
};

const maxEndedLives = 1000;

/** The members that this host knows; pure, times are passed in. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #peers = new Map<HostId, Peer>();
	/** Lives that ended; their late messages are dropped. */
	readonly #ended = new Set<IncarnationId>();
	#published: readonly PublishedHost[] = [];
	#lastMembers = new Set<HostId>();

	/**
	 * @param options - Who this host is and how long peers may be silent.
	 */
	constructor(options: MembershipOptions) {
		this.#options = options;
	}

	/** Gets the published hosts, this one included if it is published. */
	get published(): readonly PublishedHost[] {
		return this.#published;
	}

	/**
	 * Takes a newer list of the platform.
	 *
	 * @param published - The hosts.
	 */
	setPublished(published: readonly PublishedHost[]): void {
		this.#published = published;
	}

	/**
	 * Takes what a peer said of itself.
	 *
	 * @param identity - The life that said it.
	 * @param state - Its state.
	 * @param nowMs - The monotonic time.
	 * @returns False if that life has ended.
	 */
	addSighting(
		identity: PeerIdentity,
		state: PeerState,
		nowMs: number,
	): boolean {
		if (this.#ended.has(identity.incarnation)) {
			return false;
		}

		const former = this.#peers.get(identity.host);
		if (
			former !== undefined &&
			former.identity.incarnation !== identity.incarnation
		) {
			this.#endLife(former.identity.incarnation);
		}

		this.#peers.set(identity.host, {identity, state, heardAtMs: nowMs});
		return true;
	}

	/**
	 * Gets a peer that was heard lately.
	 *
	 * @param host - The host.
	 * @param nowMs - The monotonic time.
	 * @returns The peer, unless it is silent.
	 */
	getPeer(host: HostId, nowMs: number): Peer | undefined {
		const peer = this.#peers.get(host);
		return peer !== undefined &&
			nowMs - peer.heardAtMs <= this.#options.silenceMs
			? peer
			: undefined;
	}

	/**
	 * Gets all peers that were heard lately and are published.
	 *
	 * @param nowMs - The monotonic time.
	 * @returns The peers.
	 */
	getPeers(nowMs: number): Peer[] {
		return this.#published
			.map(({host}) => this.getPeer(host, nowMs))
			.filter((peer) => peer !== undefined);
	}

	/**
	 * Gets the hosts among which the keys are shared out.
	 *
	 * @param nowMs - The monotonic time.
	 * @param isSelfServing - Whether this host takes work for the fleet.
	 * @returns The hosts, sorted.
	 */
	getMembers(nowMs: number, isSelfServing: boolean): HostId[] {
		const {self} = this.#options;
		return this.#published
			.filter(({host, isLeaving}) => {
				const isServing =
					host === self.host
						? isSelfServing
						: this.getPeer(host, nowMs)?.state.phase === 'serving';
				return isServing && !isLeaving;
			})
			.map(({host}) => host)
			.toSorted();
	}

	/**
	 * Gets what changed in the view since the last call.
	 *
	 * @param members - The members now.
	 * @returns The changes.
	 */
	takeChanges(members: readonly HostId[]): MembershipChange[] {
		const current = new Set(members);
		const former = this.#lastMembers;
		const joined = members.filter((host) => !former.has(host));
		const left = [...former].filter((host) => !current.has(host));
		this.#lastMembers = current;
		return [
			...joined.map((host) => ({host, kind: 'joined' as const})),
			...left.map((host) => ({host, kind: 'left' as const})),
		];
	}

	#endLife(incarnation: IncarnationId): void {
		this.#ended.add(incarnation);
		if (this.#ended.size > maxEndedLives) {
			const [oldest] = this.#ended;
			this.#ended.delete(oldest!);
		}
	}
}

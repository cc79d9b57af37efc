/** Combines the published host list with the heartbeats received from peers. */

import type {HostId, IncarnationId} from '@bilberryscale/core';
import type {PeerAddress} from './peer-address.js';
import type {PeerIdentity, PeerState} from './peer-state.js';

/** A host on the list that the platform publishes. */
export type PublishedHost = PeerAddress & {
	readonly isLeaving: boolean;
};

/** A peer that a message was received from. */
export type Peer = {
	readonly identity: PeerIdentity;
	readonly state: PeerState;
	/** When its last message was received, in monotonic milliseconds. */
	readonly lastMessageAtMs: number;
};

/** A host that became a member or is no longer one. */
export type MembershipChange = {
	readonly host: HostId;
	readonly kind: 'joined' | 'left';
};

/** The options of a `Membership`. */
export type MembershipOptions = {
	readonly self: PeerIdentity;
	/** How long after its last message a peer still counts as alive. */
	readonly maxSilenceMs: number;
};

const maxEndedIncarnations = 1000;

/** Tracks peers and members; does no I/O and reads no clock. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #peers = new Map<HostId, Peer>();
	/** Former incarnations of peers, whose late messages are ignored. */
	readonly #endedIncarnations = new Set<IncarnationId>();
	#publishedHosts: readonly PublishedHost[] = [];
	#previousMembers = new Set<HostId>();

	/**
	 * @param options - This host's identity and how long peers stay alive without
	 * a message.
	 */
	constructor(options: MembershipOptions) {
		this.#options = options;
	}

	/** Gets the published hosts, including this one if it is published. */
	get publishedHosts(): readonly PublishedHost[] {
		return this.#publishedHosts;
	}

	/**
	 * Replaces the list of published hosts.
	 *
	 * @param hosts - The hosts on the new list.
	 */
	setPublishedHosts(hosts: readonly PublishedHost[]): void {
		this.#publishedHosts = hosts;
	}

	/**
	 * Records the state that a peer reported.
	 *
	 * @param identity - The incarnation that sent the message.
	 * @param state - The reported state.
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns False if a newer incarnation has replaced the sender.
	 */
	recordPeerState(
		identity: PeerIdentity,
		state: PeerState,
		nowMs: number,
	): boolean {
		if (this.#endedIncarnations.has(identity.incarnation)) {
			return false;
		}

		const previous = this.#peers.get(identity.host);
		if (
			previous !== undefined &&
			previous.identity.incarnation !== identity.incarnation
		) {
			this.#endIncarnation(previous.identity.incarnation);
		}

		this.#peers.set(identity.host, {identity, state, lastMessageAtMs: nowMs});
		return true;
	}

	/**
	 * Gets a peer if it is alive.
	 *
	 * @param host - The host.
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns The peer, or undefined if no message came from it recently.
	 */
	getPeer(host: HostId, nowMs: number): Peer | undefined {
		const peer = this.#peers.get(host);
		return peer !== undefined &&
			nowMs - peer.lastMessageAtMs <= this.#options.maxSilenceMs
			? peer
			: undefined;
	}

	/**
	 * Gets all peers that are published and alive.
	 *
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @returns The peers.
	 */
	getPeers(nowMs: number): Peer[] {
		return this.#publishedHosts
			.map(({host}) => this.getPeer(host, nowMs))
			.filter((peer) => peer !== undefined);
	}

	/**
	 * Gets the members, among which the keys are distributed: the published hosts
	 * that are alive, serving and not listed as leaving.
	 *
	 * @param nowMs - The current monotonic time, in milliseconds.
	 * @param isThisHostServing - Whether this host is in the phase `serving`.
	 * @returns The hosts, sorted.
	 */
	getMembers(nowMs: number, isThisHostServing: boolean): HostId[] {
		const {self} = this.#options;
		return this.#publishedHosts
			.filter(({host, isLeaving}) => {
				const isServing =
					host === self.host
						? isThisHostServing
						: this.getPeer(host, nowMs)?.state.phase === 'serving';
				return isServing && !isLeaving;
			})
			.map(({host}) => host)
			.toSorted();
	}

	/**
	 * Stores the current members and compares them with those of the last call.
	 *
	 * @param members - The current members.
	 * @returns The hosts that joined or left.
	 */
	updateMembers(members: readonly HostId[]): MembershipChange[] {
		const current = new Set(members);
		const previous = this.#previousMembers;
		const joined = members.filter((host) => !previous.has(host));
		const left = [...previous].filter((host) => !current.has(host));
		this.#previousMembers = current;
		return [
			...joined.map((host) => ({host, kind: 'joined' as const})),
			...left.map((host) => ({host, kind: 'left' as const})),
		];
	}

	#endIncarnation(incarnation: IncarnationId): void {
		this.#endedIncarnations.add(incarnation);
		if (this.#endedIncarnations.size > maxEndedIncarnations) {
			const [oldest] = this.#endedIncarnations;
			this.#endedIncarnations.delete(oldest!);
		}
	}
}

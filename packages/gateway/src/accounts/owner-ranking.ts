/** Ranks hosts as owners of the rate limits of client accounts. */

import type {ClientAccountName} from '../plan/client-account.js';
import {getRendezvousRank} from '../targets/get-rendezvous-rank.js';

/** How many hosts are ranked; with a third of all hosts down, one account in 59,000 has no living one among them. */
const rankedCount = 10;

/** Ranks and caches the first hosts of each account. */
export class OwnerRanking {
	readonly #self: string;
	readonly #getHosts: () => readonly string[];
	readonly #rankings = new Map<ClientAccountName, readonly string[]>();
	#hosts: readonly string[] = [];

	/**
	 * @param self - The address of this host.
	 * @param getHosts - Gets the addresses of the others; the same array until one is added or removed.
	 */
	constructor(self: string, getHosts: () => readonly string[]) {
		this.#self = self;
		this.#getHosts = getHosts;
	}

	/**
	 * Gets the first hosts of an account.
	 *
	 * @param account - The account.
	 * @returns Their addresses; the first is the owner, as far as this host knows.
	 */
	getRanked(account: ClientAccountName): readonly string[] {
		const hosts = this.#getHosts();
		if (hosts !== this.#hosts) {
			this.#hosts = hosts;
			this.#rankings.clear();
		}

		const existing = this.#rankings.get(account);
		if (existing !== undefined) {
			return existing;
		}

		const ranking = [this.#self, ...hosts]
			.map((address) => ({address, rank: getRendezvousRank(address, account)}))
			.toSorted((a, b) => a.rank - b.rank || (a.address < b.address ? -1 : 1))
			.slice(0, rankedCount)
			.map(({address}) => address);
		this.#rankings.set(account, ranking);
		return ranking;
	}

	/**
	 * Gets the hosts that rank before this one.
	 *
	 * @param account - The account.
	 * @returns Their addresses; none if this host is the owner.
	 */
	getBetter(account: ClientAccountName): readonly string[] {
		const ranked = this.getRanked(account);
		const position = ranked.indexOf(this.#self);
		return position === -1 ? ranked : ranked.slice(0, position);
	}
}

/** Adds the data centres to the hosts of the directory, which has their addresses alone. */

import type {DataCentreId} from '@bilberryscale/core';
import type {HostPlace} from '../limits/get-rate-share.js';

/** Where a host is, as far as gossip has told it since this host started. */
export type KnownPlace = Pick<HostPlace, 'address'> & {
	readonly dataCentre: DataCentreId | undefined;
};

/** Where the hosts come from. */
export type HostPlacesOptions = {
	/** Gets the addresses of the directory; the same array until one is added or forgotten. */
	readonly getHosts: () => readonly string[];
	/** Gets the hosts that gossip has brought lately; the same array until one is added or removed. */
	readonly getPeers: () => readonly HostPlace[];
};

/** The other hosts with their data centres, which are remembered as long as the directory remembers the host. */
export class HostPlaces {
	readonly #options: HostPlacesOptions;
	#dataCentres: ReadonlyMap<string, DataCentreId> = new Map();
	#hosts: readonly string[] = [];
	#peers: readonly HostPlace[] = [];
	#places: readonly KnownPlace[] = [];

	/**
	 * @param options - Where the hosts come from.
	 */
	constructor(options: HostPlacesOptions) {
		this.#options = options;
	}

	/**
	 * Gets the other hosts.
	 *
	 * @returns The same array until a host is added or forgotten, or its data centre becomes known.
	 */
	getPlaces(): readonly KnownPlace[] {
		const hosts = this.#options.getHosts();
		const peers = this.#options.getPeers();
		if (hosts === this.#hosts && peers === this.#peers) {
			return this.#places;
		}

		this.#hosts = hosts;
		this.#peers = peers;
		const known = new Map([
			...this.#dataCentres,
			...peers.map(({address, dataCentre}) => [address, dataCentre] as const),
		]);
		this.#places = hosts.map((address) => ({
			address,
			dataCentre: known.get(address),
		}));
		this.#dataCentres = new Map(
			this.#places.flatMap(({address, dataCentre}) =>
				dataCentre === undefined ? [] : [[address, dataCentre] as const],
			),
		);
		return this.#places;
	}
}

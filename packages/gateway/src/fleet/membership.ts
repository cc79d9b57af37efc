/** Which hosts there are, as far as they have told each other. */

import type {Clock, DataCentreId, RandomSource} from '@bilberryscale/core';

/** What a host tells of itself and of others. */
export type MemberRecord = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** A restart gives a higher one. */
	readonly incarnation: number;
	/** Rises while the host lives. */
	readonly beat: number;
};

type Member = {
	record: MemberRecord;
	/** When its beat last rose, on the monotonic clock. */
	changedAtMs: number;
};

/** What the membership works with. */
export type MembershipOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly incarnation: number;
};

/** A host that was not heard of for so long is not counted on, in milliseconds. */
const liveMs = 15_000;
/** A host that was silent for longer is forgotten, in milliseconds. */
const forgetMs = 60_000;

/** Keeps the newest record of each host. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #members = new Map<string, Member>();
	#own: MemberRecord;

	/**
	 * @param options - This host.
	 */
	constructor(options: MembershipOptions) {
		this.#options = options;
		const {address, dataCentre, incarnation} = options;
		this.#own = {address, dataCentre, incarnation, beat: 0};
	}

	/** Gets how many hosts were heard of within the last minute, this one included. */
	get knownCount(): number {
		return this.#members.size + 1;
	}

	/** Raises the beat of this host and forgets hosts of long ago. */
	beat(): void {
		this.#own = {...this.#own, beat: this.#own.beat + 1};
		const oldestMs = this.#options.clock.monotonicMs() - forgetMs;
		for (const [address, {changedAtMs}] of this.#members) {
			if (changedAtMs < oldestMs) {
				this.#members.delete(address);
			}
		}
	}

	/**
	 * Takes in records.
	 *
	 * @param records - The records of any hosts.
	 * @returns The hosts that were not known before.
	 */
	add(records: readonly MemberRecord[]): MemberRecord[] {
		return records.filter((record) => this.#addOne(record));
	}

	/**
	 * Notes that a host has answered.
	 *
	 * @param address - The IP number of the host.
	 */
	noteAnswer(address: string): void {
		const member = this.#members.get(address);
		if (member !== undefined) {
			member.changedAtMs = this.#options.clock.monotonicMs();
		}
	}

	/**
	 * Gets records to tell another host.
	 *
	 * @param most - How many.
	 * @returns The record of this host and some of the others.
	 */
	getRecords(most: number): MemberRecord[] {
		return [this.#own, ...this.#shuffle(this.#getLive()).slice(0, most - 1)];
	}

	/**
	 * Gets the hosts that live, as far as is known, without this one.
	 *
	 * @returns Their records in the order of their addresses.
	 */
	getOthers(): MemberRecord[] {
		return this.#getLive().toSorted(compareAddresses);
	}

	/**
	 * Gets the hosts of a data centre, this one included.
	 *
	 * @param dataCentre - The data centre.
	 * @returns Their records in an order that all hosts agree on.
	 */
	getRanked(dataCentre: DataCentreId): MemberRecord[] {
		return [this.#own, ...this.#getLive()]
			.filter((record) => record.dataCentre === dataCentre)
			.toSorted(compareAddresses);
	}

	/**
	 * Gets the data centres that have live hosts.
	 *
	 * @returns Their ids.
	 */
	getDataCentres(): DataCentreId[] {
		const all = [this.#own, ...this.#getLive()];
		return [...new Set(all.map(({dataCentre}) => dataCentre))].toSorted();
	}

	#addOne(record: MemberRecord): boolean {
		if (record.address === this.#own.address) {
			this.#outlive(record);
			return false;
		}

		const known = this.#members.get(record.address);
		if (known !== undefined && !isNewer(record, known.record)) {
			return false;
		}

		const changedAtMs = this.#options.clock.monotonicMs();
		this.#members.set(record.address, {record, changedAtMs});
		return known === undefined;
	}

	/** Records of a former life may be dated later if the wall clock was stepped back. */
	#outlive({incarnation}: MemberRecord): void {
		if (incarnation > this.#own.incarnation) {
			this.#own = {...this.#own, incarnation: incarnation + 1};
		}
	}

	#getLive(): MemberRecord[] {
		const oldestMs = this.#options.clock.monotonicMs() - liveMs;
		return [...this.#members.values()]
			.filter(({changedAtMs}) => changedAtMs >= oldestMs)
			.map(({record}) => record);
	}

	#shuffle(records: readonly MemberRecord[]): MemberRecord[] {
		return records
			.map((record) => ({record, rank: this.#options.random()}))
			.toSorted((a, b) => a.rank - b.rank)
			.map(({record}) => record);
	}
}

function isNewer(a: MemberRecord, b: MemberRecord): boolean {
	return a.incarnation === b.incarnation
		? a.beat > b.beat
		: a.incarnation > b.incarnation;
}

function compareAddresses(a: MemberRecord, b: MemberRecord): number {
	return a.address < b.address ? -1 : 1;
}

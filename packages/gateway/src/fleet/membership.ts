/** Membership of the fleet, as the hosts learn it from each other by gossip. */

import type {Clock, DataCentreId, RandomSource} from '@bilberryscale/core';

/** The record of a host that hosts exchange. */
export type MemberRecord = {
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** Identifies one run of the host; a restart gives a higher number. */
	readonly incarnation: number;
	/** A counter that the host increments while it runs. */
	readonly heartbeat: number;
};

type MemberEntry = {
	record: MemberRecord;
	/** When its heartbeat last rose or it last responded, on the monotonic clock. */
	lastSeenAtMs: number;
};

/** The host whose view of the fleet this is, and its dependencies. */
export type MembershipOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly incarnation: number;
};

/** A host not seen for longer than this is considered down, in milliseconds. */
const livenessTimeoutMs = 15_000;
/** A host not seen for longer than this is removed, in milliseconds. */
const removalTimeoutMs = 60_000;
/** Records of further hosts are ignored. */
const maxMembers = 2048;

/** Holds the newest record of each host. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #members = new Map<string, MemberEntry>();
	/** Computed on demand after each change of the set of members. */
	#knownPeers: readonly MemberRecord[] | undefined;
	#self: MemberRecord;

	/**
	 * @param options - This host.
	 */
	constructor(options: MembershipOptions) {
		this.#options = options;
		const {address, dataCentre, incarnation} = options;
		this.#self = {address, dataCentre, incarnation, heartbeat: 0};
	}

	/** Gets the number of hosts seen within the last minute, including this one. */
	get memberCount(): number {
		return this.#members.size + 1;
	}

	/** Gets the other hosts seen within the last minute; the same array until one is added or removed. */
	get knownPeers(): readonly MemberRecord[] {
		this.#knownPeers ??= [...this.#members.values()].map(({record}) => record);
		return this.#knownPeers;
	}

	/** Increments the heartbeat of this host and removes hosts that have timed out. */
	advanceHeartbeat(): void {
		this.#self = {...this.#self, heartbeat: this.#self.heartbeat + 1};
		const cutoffMs = this.#options.clock.monotonicMs() - removalTimeoutMs;
		for (const [address, {lastSeenAtMs}] of this.#members) {
			if (lastSeenAtMs < cutoffMs) {
				this.#members.delete(address);
				this.#knownPeers = undefined;
			}
		}
	}

	/**
	 * Merges received records, keeping the newer one of each host.
	 *
	 * @param records - The records; they may include this host's.
	 * @returns The records of hosts that were unknown.
	 */
	add(records: readonly MemberRecord[]): MemberRecord[] {
		return records.filter((record) => this.#addRecord(record));
	}

	/**
	 * Checks whether a host was seen within the last minute.
	 *
	 * @param address - The IP address of the host.
	 * @returns Whether it was.
	 */
	isKnown(address: string): boolean {
		return this.#members.has(address);
	}

	/**
	 * Records that a host has responded, which proves that it is up.
	 *
	 * @param address - The IP address of the host.
	 */
	recordResponse(address: string): void {
		const member = this.#members.get(address);
		if (member !== undefined) {
			member.lastSeenAtMs = this.#options.clock.monotonicMs();
		}
	}

	/**
	 * Gets records to send to another host.
	 *
	 * @param maxCount - The maximum number of random peers among the records.
	 * @returns The record of this host, those of the first live host of each data
	 * centre, from which the others read, and a random sample of the live peers.
	 */
	sampleRecords(maxCount: number): MemberRecord[] {
		const records = this.#getLiveRecords();
		return [
			...new Set([
				this.#self,
				...getFirstHosts(records),
				...this.#shuffle(records).slice(0, maxCount),
			]),
		];
	}

	/**
	 * Gets random live peers.
	 *
	 * @param maxCount - The maximum number of peers.
	 * @returns Their records.
	 */
	samplePeers(maxCount: number): MemberRecord[] {
		return this.#shuffle(this.#getLiveRecords()).slice(0, maxCount);
	}

	/**
	 * Gets the other hosts that are considered up.
	 *
	 * @returns Their records, sorted by address.
	 */
	getLivePeers(): MemberRecord[] {
		return this.#getLiveRecords().toSorted(compareAddresses);
	}

	/**
	 * Gets the live hosts of a data centre, including this one if it is there.
	 *
	 * @param dataCentre - The data centre.
	 * @returns Their records, sorted by address, so that all hosts use the same order.
	 */
	getSortedHosts(dataCentre: DataCentreId): MemberRecord[] {
		return [this.#self, ...this.#getLiveRecords()]
			.filter((record) => record.dataCentre === dataCentre)
			.toSorted(compareAddresses);
	}

	/**
	 * Gets the data centres that have live hosts.
	 *
	 * @returns Their ids.
	 */
	getLiveDataCentres(): DataCentreId[] {
		const hosts = [this.#self, ...this.#getLiveRecords()];
		return [...new Set(hosts.map(({dataCentre}) => dataCentre))].toSorted();
	}

	#addRecord(record: MemberRecord): boolean {
		if (record.address === this.#self.address) {
			this.#supersedePreviousIncarnation(record);
			return false;
		}

		const existing = this.#members.get(record.address);
		if (existing === undefined && this.#members.size >= maxMembers) {
			return false;
		}

		if (existing !== undefined && !isNewer(record, existing.record)) {
			return false;
		}

		const lastSeenAtMs = this.#options.clock.monotonicMs();
		this.#members.set(record.address, {record, lastSeenAtMs});
		if (existing === undefined) {
			this.#knownPeers = undefined;
		}

		return existing === undefined;
	}

	/**
	 * Moves this host past a higher incarnation of its own address. Incarnations
	 * come from the wall clock, so the previous run's is higher if that clock was
	 * stepped back.
	 */
	#supersedePreviousIncarnation({incarnation}: MemberRecord): void {
		if (incarnation > this.#self.incarnation) {
			this.#self = {...this.#self, incarnation: incarnation + 1};
		}
	}

	#getLiveRecords(): MemberRecord[] {
		const cutoffMs = this.#options.clock.monotonicMs() - livenessTimeoutMs;
		return [...this.#members.values()]
			.filter(({lastSeenAtMs}) => lastSeenAtMs >= cutoffMs)
			.map(({record}) => record);
	}

	#shuffle(records: readonly MemberRecord[]): MemberRecord[] {
		return records
			.map((record) => ({record, sortKey: this.#options.random()}))
			.toSorted((a, b) => a.sortKey - b.sortKey)
			.map(({record}) => record);
	}
}

function getFirstHosts(records: readonly MemberRecord[]): MemberRecord[] {
	const firstHosts = new Map<DataCentreId, MemberRecord>();
	for (const record of records) {
		const first = firstHosts.get(record.dataCentre);
		if (first === undefined || compareAddresses(record, first) < 0) {
			firstHosts.set(record.dataCentre, record);
		}
	}

	return [...firstHosts.values()];
}

function isNewer(a: MemberRecord, b: MemberRecord): boolean {
	return a.incarnation === b.incarnation
		? a.heartbeat > b.heartbeat
		: a.incarnation > b.incarnation;
}

function compareAddresses(a: MemberRecord, b: MemberRecord): number {
	return a.address < b.address ? -1 : 1;
}

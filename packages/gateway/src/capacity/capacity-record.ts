/** What hosts tell each other about the utilization of a service. */

import {Buffer} from 'node:buffer';
import {makeId, type ServiceName} from '@bilberryscale/core';

/** The estimate of one host, averaged with those of the hosts that it has heard from. */
export type CapacityRecord = {
	readonly service: ServiceName;
	/** The share of the slots in use, from 0 to 1. */
	readonly utilization: number;
	/** The mean number of slots that the requests of a rank arriving at one host keep busy, by rank. */
	readonly demand: ReadonlyMap<number, number>;
};

/** Maximum size of all records in a datagram; with its members, the datagram stays within one packet. */
export const maxEncodedBytes = 400;
/** Maximum number of ranks in a record; less urgent ones are left out. */
const maxRanks = 6;
/** Demand that no real service reaches, in slots per host. */
const maxDemand = 1e5;
const unitsPerOne = 1000;

/**
 * Encodes records as a parameter of a gossip message.
 *
 * @param records - The records; those that exceed {@link maxEncodedBytes} are left out.
 * @returns The parameter: an array of service, utilization and pairs of rank and demand, both in thousandths.
 */
export function encodeCapacityRecords(
	records: readonly CapacityRecord[],
): readonly unknown[] {
	const encoded: unknown[] = [];
	let bytes = '[]'.length;
	for (const {service, utilization, demand} of records) {
		const item = [
			service,
			Math.round(utilization * unitsPerOne),
			[...demand]
				.toSorted(([a], [b]) => a - b)
				.slice(0, maxRanks)
				.map(([rank, slots]) => [rank, Math.round(slots * unitsPerOne)]),
		];
		bytes += Buffer.byteLength(JSON.stringify(item)) + 1;
		if (bytes > maxEncodedBytes) {
			break;
		}

		encoded.push(item);
	}

	return encoded;
}

/**
 * Decodes a parameter of a gossip message.
 *
 * @param value - The parameter; undefined if an older host has sent the message.
 * @returns The valid records.
 */
export function decodeCapacityRecords(value: unknown): CapacityRecord[] {
	return Array.isArray(value)
		? value.flatMap((item) => decodeRecord(item) ?? [])
		: [];
}

function decodeRecord(item: unknown): CapacityRecord | undefined {
	if (!Array.isArray(item)) {
		return undefined;
	}

	const [service, utilization, demand] = item as unknown[];
	if (
		typeof service !== 'string' ||
		!isBetween(utilization, 0, unitsPerOne) ||
		!Array.isArray(demand)
	) {
		return undefined;
	}

	return {
		service: makeId<ServiceName>(service),
		utilization: utilization / unitsPerOne,
		demand: new Map(
			demand.slice(0, maxRanks).flatMap((pair) => decodeDemand(pair)),
		),
	};
}

function decodeDemand(pair: unknown): Array<readonly [number, number]> {
	if (!Array.isArray(pair)) {
		return [];
	}

	const [rank, slots] = pair as unknown[];
	return Number.isInteger(rank) && isBetween(slots, 0, maxDemand * unitsPerOne)
		? [[rank as number, slots / unitsPerOne]]
		: [];
}

function isBetween(value: unknown, min: number, max: number): value is number {
	return typeof value === 'number' && value >= min && value <= max;
}

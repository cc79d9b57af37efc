/** Routes, targets, published changes and test doubles for the tests of the gateway. */

import {
	makeId,
	type Clock,
	type DataCentreId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import {Err, Ok, type Result} from 'ts-results-es';
import {getKeyDigest} from '../src/accounts/get-key-digest.js';
import type {
	ClientAccount,
	ClientAccountName,
} from '../src/plan/client-account.js';
import type {
	RegisteredTarget,
	TargetIncarnation,
} from '../src/plan/registered-target.js';
import type {PlanVersion, Route, RouteName} from '../src/plan/routing-plan.js';
import type {TargetProtocol} from '../src/targets/target-protocol.js';
import {EventLog} from '../src/records/event-log.js';
import {FreshnessBudget} from '../src/snapshot/freshness-budget.js';
import type {
	PublishedChange,
	PublishedChanges,
	ItemContent,
	SnapshotSource,
	StorePosition,
	ReadError,
} from '../src/snapshot/snapshot-source.js';

export const east = makeId<DataCentreId>('east');
export const west = makeId<DataCentreId>('west');
export const reading = makeId<ServiceName>('reading');

export function makeRoute(changes: Partial<Route> = {}): Route {
	return {
		name: makeId<RouteName>('route-1'),
		host: 'a.example',
		pathPrefix: '/a/',
		isIdempotent: true,
		weightedServices: [{service: reading, weight: 1}],
		timeoutMs: 1000,
		targetLatencyMs: 600,
		maxAttempts: 2,
		priority: 1,
		...changes,
	};
}

export function makeAccount(
	name: string,
	keys: readonly string[],
	changes: Partial<ClientAccount> = {},
): ClientAccount {
	return {
		name: makeId<ClientAccountName>(name),
		keyDigests: keys.map((key) => getKeyDigest(key)),
		priority: undefined,
		ratePerSecond: 0,
		burst: 0,
		...changes,
	};
}

export function makeRegisteredTarget(
	id: string,
	changes: Partial<RegisteredTarget> = {},
): RegisteredTarget {
	return {
		id: makeId<TargetId>(id),
		incarnation: makeId<TargetIncarnation>(`${id}@1`),
		service: reading,
		address: '127.0.0.1',
		port: 1,
		dataCentre: east,
		slots: 4,
		sequence: 1,
		isDraining: false,
		remainingWarmUpMs: 0,
		...changes,
	};
}

/** Decodes the item `plan`, whose text is its version, and any other item as a target. */
export function decodeTestItem(
	name: string,
	text: string,
): Result<ItemContent | undefined, string> {
	if (text === 'broken') {
		return Err('is broken');
	}

	if (name === 'plan') {
		const limits = {
			maxHeaderBytes: 1000,
			maxBodyBytes: 1000,
			headerTimeoutMs: 1000,
			idleTimeoutMs: 1000,
		};
		const version = makeId<PlanVersion>(Number(text));
		const plan = {version, routes: [makeRoute()], services: [], limits};
		return Ok({kind: 'plan', plan});
	}

	return Ok({kind: 'target', target: makeRegisteredTarget(name)});
}

export function makeChanges(
	revision: number,
	changes: readonly PublishedChange[],
	isWhole = false,
	era = 0,
): PublishedChanges {
	return {
		isWhole,
		changes,
		era,
		revision,
		ageMs: 0,
		heldMs: 0,
		holdMs: 0,
		via: [],
		viaAgesMs: [],
	};
}

export function makeUpdate(
	name: string,
	revision: number,
	text = 'target',
): PublishedChange {
	return {name, text, revision};
}

export function makeRemoval(name: string, revision: number): PublishedChange {
	return {name, text: undefined, revision};
}

/** A protocol in which each response to a probe comes from a full and healthy target. */
export const testProtocol: TargetProtocol = {
	requestIdHeader: 'id',
	deadlineHeader: 'deadline',
	credentialHeader: 'credential',
	accountHeader: 'account',
	getExpectationHeader: () => ['expect', 'a'],
	isNotRun: () => false,
	isSealed: () => true,
	readLoad: () => undefined,
	readAvailability: () => undefined,
	readHealth: (_status, _headers, {id, slots}, nowMs) => ({
		receivedAtMs: nowMs,
		running: slots,
		waiting: 0,
		slots,
		slowdownFactor: 1,
		isHealthy: true,
		remainingWarmUpMs: 0,
		answeredBy: id,
	}),
};

/** The budget of the platform's default bounds. */
export const testBudget = new FreshnessBudget(() => ({
	maxChangeDelayMs: 2000,
	recoveryMs: 3000,
}));

/** Makes a log that collects its lines. */
export function makeTestLog(clock: Clock): {
	readonly log: EventLog;
	readonly lines: Array<Readonly<Record<string, unknown>>>;
} {
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const log = new EventLog({
		clock,
		origin: {host: 'test'},
		writeLine(line) {
			lines.push(JSON.parse(line) as Record<string, unknown>);
		},
	});
	return {log, lines};
}

type ReadResult = Result<PublishedChanges, ReadError>;

/** A source that returns scripted results in order and records how it was read. */
export class ScriptedSource implements SnapshotSource {
	readonly name: string;
	readonly isStore: boolean;
	readonly reads: string[] = [];
	readonly scriptedResults: ReadResult[] = [];

	constructor(name: string, isStore: boolean) {
		this.name = name;
		this.isStore = isStore;
	}

	async readAll(allowsStale: boolean): Promise<ReadResult> {
		this.reads.push(allowsStale ? 'all, stale allowed' : 'all');
		return this.#next();
	}

	async readChanges(
		{revision}: StorePosition,
		waitMs: number,
	): Promise<ReadResult> {
		this.reads.push(`after ${revision}${waitMs > 0 ? '' : ', no wait'}`);
		return this.#next();
	}

	#next(): ReadResult {
		return (
			this.scriptedResults.shift() ??
			Err({isHistoryGone: false, detail: 'not scripted'})
		);
	}
}

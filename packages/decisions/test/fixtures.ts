/** Services, targets, calls and outcomes for the tests of this package. */

import type {DataCentre, Service, Target} from '@bilberryscale/bundle';
import {
	makeId,
	makeSeededRandom,
	type AuditEvent,
	type TargetIncarnationId,
	type CallerClass,
	type DataCentreId,
	type RequestId,
	type ServiceName,
	type TargetId,
} from '@bilberryscale/core';
import {
	chooseRandom,
	ServiceDispatcher,
	type Call,
	type Outcome,
	type OutcomeKind,
	type SelectionPolicy,
} from '../src/index.js';

export const east = makeId<DataCentreId>('east');
export const west = makeId<DataCentreId>('west');
export const firstIncarnation = makeId<TargetIncarnationId>('boot-1');
export const secondIncarnation = makeId<TargetIncarnationId>('boot-2');
export const allDataCentres: readonly DataCentre[] = [
	{id: east, state: 'in'},
	{id: west, state: 'in'},
];

let callCount = 0;

export function makeTarget(number: number, dataCentre = east): Target {
	return {
		id: makeId<TargetId>(`target-${number}`),
		address: '127.0.0.1',
		port: 8100 + number,
		dataCentre,
		slots: 4,
		connections: 220,
		coldAllowance: 1,
	};
}

export function makeService(
	targetCount: number,
	overrides: Partial<Service> = {},
): Service {
	return {
		name: makeId<ServiceName>('archive'),
		idempotency: 'all',
		classes: [
			{name: makeId<CallerClass>('reader'), weight: 1},
			{name: makeId<CallerClass>('press'), weight: 1},
		],
		limits: {
			queueLength: 8,
			queueTimeMs: 500,
			timeoutMs: 5000,
			bodyBytes: 1000,
		},
		retry: {share: 0.1, attempts: 3},
		measuring: {callsPerSecond: 0, bytesPerSecond: 0},
		targets: Array.from({length: targetCount}, (_, index) => makeTarget(index)),
		...overrides,
	};
}

export function makeCall(overrides: Partial<Call> = {}): Call {
	callCount++;
	return {
		requestId: makeId<RequestId>(`call-${callCount}`),
		callerClass: makeId<CallerClass>('reader'),
		isIdempotent: true,
		deadlineMs: Number.MAX_SAFE_INTEGER,
		triedTargets: [],
		...overrides,
	};
}

export function makeOutcome(
	kind: OutcomeKind,
	overrides: {
		latencyMs?: number;
		bootId?: TargetIncarnationId;
		inFlight?: number;
	} = {},
	nowMs = 0,
): Outcome {
	const {latencyMs = 20, bootId = firstIncarnation, inFlight = 0} = overrides;
	return kind === 'unreachable' || kind === 'failed'
		? {kind, latencyMs}
		: {kind, latencyMs, report: {inFlight, bootId, receivedAtMs: nowMs}};
}

export type DispatcherFixture = {
	readonly dispatcher: ServiceDispatcher;
	readonly auditEvents: AuditEvent[];
};

export function makeDispatcher(
	service: Service,
	chooseTarget: SelectionPolicy = chooseRandom,
): DispatcherFixture {
	const auditEvents: AuditEvent[] = [];
	const dispatcher = new ServiceDispatcher({
		service,
		dataCentres: allDataCentres,
		distances: [{between: [east, west], delayMs: 5}],
		dataCentre: east,
		chooseTarget,
		random: makeSeededRandom(1),
		audit(event) {
			auditEvents.push(event);
		},
		nowMs: 0,
	});
	return {dispatcher, auditEvents};
}

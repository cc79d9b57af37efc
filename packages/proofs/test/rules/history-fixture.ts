/** Builds a valid history and its records, for the tests of the rules. */

import type {CallRecord, RunRecord} from '@bilberryscale/standins';
import type {AuditEntry, History} from '../../src/index.js';

/** The base URL at which callers reach the host of the fixture. */
export const entryUrl = 'http://127.0.0.1:1';

/** Makes the record of a successful submission. */
export function makeCall(overrides: Partial<CallRecord> = {}): CallRecord {
	return {
		service: 'register',
		method: 'POST',
		requestId: 'r1',
		key: 'k1',
		attempt: 0,
		entry: entryUrl,
		sentAtMs: 1000,
		endedAtMs: 1050,
		latencyMs: 50,
		status: 200,
		errorKind: undefined,
		ran: undefined,
		isWhole: true,
		...overrides,
	};
}

/** Makes the record of the start of a run. */
export function makeRun(overrides: Partial<RunRecord> = {}): RunRecord {
	return {
		event: 'begin',
		target: 'register-1',
		requestId: 'r1',
		key: 'k1',
		method: 'POST',
		source: '127.0.0.1',
		atMs: 1010,
		...overrides,
	};
}

/** Makes the audit entry of a bundle adoption. */
export function makeAdoption(
	version: number,
	atMs: number,
	overrides: Partial<AuditEntry> = {},
): AuditEntry {
	return {
		host: 'entry-1',
		incarnation: 'incarnation-1',
		kind: 'bundle-adopted',
		subject: `version ${version}`,
		atMs,
		...overrides,
	};
}

/** Makes a history without violations. */
export function makeHistory(overrides: Partial<History> = {}): History {
	return {
		calls: [makeCall()],
		runs: [makeRun(), makeRun({event: 'end', atMs: 1040})],
		auditEntries: [makeAdoption(1, 10), makeAdoption(2, 5100)],
		rollouts: [
			{version: 1, atMs: 0, drainedDataCentres: [], removedTargets: []},
			{
				version: 2,
				atMs: 5000,
				drainedDataCentres: ['west'],
				removedTargets: [],
			},
		],
		shutdowns: [
			{host: 'entry-1', entry: entryUrl, fromMs: 1020, toMs: 1100, exitCode: 0},
		],
		outages: [],
		targetDataCentres: [
			{target: 'register-1', dataCentre: 'east'},
			{target: 'register-2', dataCentre: 'west'},
		],
		hosts: ['entry-1'],
		endedAtMs: 30_000,
		...overrides,
	};
}

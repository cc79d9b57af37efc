/** A good history, for the tests of the rules. */

import type {CallRecord, RunRecord} from '@bilberryscale/standins';
import type {AuditEntry, History} from '../../src/index.js';

/** Where callers reach the host of the fixture. */
export const entry = 'http://127.0.0.1:1';

/** Makes a served submission. */
export function makeCall(change: Partial<CallRecord> = {}): CallRecord {
	return {
		service: 'register',
		method: 'POST',
		requestId: 'r1',
		key: 'k1',
		attempt: 0,
		entry,
		sentAtMs: 1000,
		endedAtMs: 1050,
		latencyMs: 50,
		status: 200,
		errorKind: undefined,
		ran: undefined,
		isWhole: true,
		...change,
	};
}

/** Makes the begin of a run. */
export function makeRun(change: Partial<RunRecord> = {}): RunRecord {
	return {
		event: 'begin',
		target: 'register-1',
		requestId: 'r1',
		key: 'k1',
		method: 'POST',
		source: '127.0.0.1',
		atMs: 1010,
		...change,
	};
}

/** Makes the adoption of a bundle. */
export function makeAdoption(
	version: number,
	atMs: number,
	change: Partial<AuditEntry> = {},
): AuditEntry {
	return {
		host: 'entry-1',
		incarnation: 'life-1',
		kind: 'bundle-adopted',
		subject: `version ${version}`,
		atMs,
		...change,
	};
}

/** Makes a run in which everything held. */
export function makeHistory(change: Partial<History> = {}): History {
	return {
		calls: [makeCall()],
		runs: [makeRun(), makeRun({event: 'end', atMs: 1040})],
		audits: [makeAdoption(1, 10), makeAdoption(2, 5100)],
		rolls: [
			{version: 1, atMs: 0, out: [], leaving: []},
			{version: 2, atMs: 5000, out: ['west'], leaving: []},
		],
		shutdowns: [
			{host: 'entry-1', entry, fromMs: 1020, toMs: 1100, exitCode: 0},
		],
		absences: [],
		sites: [
			{target: 'register-1', dataCentre: 'east'},
			{target: 'register-2', dataCentre: 'west'},
		],
		hosts: ['entry-1'],
		endedAtMs: 30_000,
		...change,
	};
}

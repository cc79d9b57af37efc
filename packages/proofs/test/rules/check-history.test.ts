import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {checkHistory, type History} from '../../src/index.js';
import {
	makeAdoption,
	makeCall,
	makeHistory,
	makeRun,
} from './history-fixture.js';

function expectViolations(
	overrides: Partial<History>,
	expected: readonly string[],
): void {
	const violations = checkHistory(makeHistory(overrides));
	assert.equal(
		violations.map(({rule}) => rule),
		expected,
	);
}

describe('checkHistory', () => {
	it('reports no violation for a valid history', () => {
		expectViolations({}, []);
	});

	it('reports an incomplete response', () => {
		const rule = 'each request gets its own complete response';
		expectViolations({calls: [makeCall({isWhole: false})]}, [rule]);
	});

	describe('a non-idempotent request runs at most once', () => {
		const rule = 'a non-idempotent request runs at most once';

		it('reports a key that was run by two requests', () => {
			expectViolations({runs: [makeRun(), makeRun({requestId: 'r2'})]}, [rule]);
		});

		it('reports a request without a key that started twice', () => {
			const run = makeRun({key: undefined});
			expectViolations({runs: [run, run]}, [rule]);
		});

		it('allows an idempotent request to run again', () => {
			const run = makeRun({method: 'GET'});
			expectViolations({runs: [run, run]}, []);
		});
	});

	describe('a request refused as not run never started', () => {
		const calls = [makeCall({status: 503, ran: 'not-run'})];

		it('reports a refused request that started', () => {
			expectViolations({calls}, ['a request refused as not run never started']);
		});

		it('accepts a refusal by a target', () => {
			expectViolations({calls, runs: [makeRun({event: 'refuse'})]}, []);
		});
	});

	describe('drained targets get no new requests', () => {
		const rule = 'drained targets get no new requests';
		const [first, second] = makeHistory().rollouts;
		const runs = (atMs: number) => [makeRun({target: 'register-2', atMs})];

		it('allows requests until the activation delay has passed', () => {
			expectViolations({runs: runs(11_000)}, []);
		});

		it('reports requests after the activation delay', () => {
			expectViolations({runs: runs(11_001)}, [rule]);
		});

		it('measures the delay from the first of several consecutive bundles that drain the target', () => {
			const again = {...second!, atMs: 12_000};
			expectViolations(
				{runs: runs(13_000), rollouts: [first!, second!, again]},
				[rule],
			);
		});

		it('reports a request to a removed target', () => {
			const removal = {
				...second!,
				drainedDataCentres: [],
				removedTargets: ['register-1'],
			};
			const run = makeRun({event: 'refuse', atMs: 11_500});
			expectViolations({runs: [run], rollouts: [first!, removal]}, [rule]);
		});
	});

	describe('a graceful shutdown aborts no request', () => {
		const rule = 'a graceful shutdown aborts no request';

		it('reports an aborted request', () => {
			const call = makeCall({status: 0, errorKind: 'ECONNRESET'});
			expectViolations({calls: [call]}, [rule]);
		});

		it('allows a closed port to refuse a connection', () => {
			const call = makeCall({status: 0, errorKind: 'ECONNREFUSED'});
			expectViolations({calls: [call]}, []);
		});

		it('reports a host that exited with an error code', () => {
			const [shutdown] = makeHistory().shutdowns;
			expectViolations({shutdowns: [{...shutdown!, exitCode: 3}]}, [rule]);
		});
	});

	describe('the bundle in force', () => {
		const regressionRule = 'the bundle version in force never decreases';
		const lateRule = 'a bundle is in force on every host within seconds';
		const [one, two] = [makeAdoption(1, 10), makeAdoption(2, 5100)];

		it('reports a lower version in the same incarnation', () => {
			expectViolations({auditEntries: [one, two, makeAdoption(1, 5200)]}, [
				regressionRule,
			]);
		});

		it('reports a new incarnation that starts with an outdated version', () => {
			const stale = makeAdoption(1, 12_000, {incarnation: 'incarnation-2'});
			expectViolations({auditEntries: [one, two, stale]}, [regressionRule]);
		});

		it('reports a host that adopts a bundle too late', () => {
			expectViolations({auditEntries: [one, makeAdoption(2, 11_001)]}, [
				lateRule,
			]);
		});

		it('expects no adoption from a host that was unavailable', () => {
			const outage = {host: 'entry-1', fromMs: 6000, toMs: 29_000};
			expectViolations({auditEntries: [one], outages: [outage]}, []);
		});
	});
});

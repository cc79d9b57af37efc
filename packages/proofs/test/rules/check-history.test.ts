import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {checkHistory, type History} from '../../src/index.js';
import {
	makeAdoption,
	makeCall,
	makeHistory,
	makeRun,
} from './history-fixture.js';

function doTest(change: Partial<History>, expected: readonly string[]): void {
	const breaches = checkHistory(makeHistory(change));
	assert.equal(
		breaches.map(({rule}) => rule),
		expected,
	);
}

describe('checkHistory', () => {
	it('finds nothing in a good history', () => {
		doTest({}, []);
	});

	it('finds an answer that is not whole', () => {
		const rule = 'the whole answer to the own request';
		doTest({calls: [makeCall({isWhole: false})]}, [rule]);
	});

	describe('runs at most once', () => {
		const rule = 'runs at most once';

		it('finds a key that began twice, by two requests', () => {
			doTest({runs: [makeRun(), makeRun({requestId: 'r2'})]}, [rule]);
		});

		it('finds a request without a key that began twice', () => {
			const run = makeRun({key: undefined});
			doTest({runs: [run, run]}, [rule]);
		});

		it('lets an idempotent request run again', () => {
			const run = makeRun({method: 'GET'});
			doTest({runs: [run, run]}, []);
		});
	});

	describe('not run is true', () => {
		const calls = [makeCall({status: 503, ran: 'not-run'})];

		it('finds a refused request that began', () => {
			doTest({calls}, ['not run is true']);
		});

		it('takes a refusal by a target as true', () => {
			doTest({calls, runs: [makeRun({event: 'refuse'})]}, []);
		});
	});

	describe('no new work at what was taken out', () => {
		const rule = 'no new work at what was taken out';
		const [first, second] = makeHistory().rolls;
		const runs = (atMs: number) => [makeRun({target: 'register-2', atMs})];

		it('lets work come within the time', () => {
			doTest({runs: runs(11_000)}, []);
		});

		it('finds work after the time', () => {
			doTest({runs: runs(11_001)}, [rule]);
		});

		it('counts from the first of several bundles that keep it out', () => {
			const again = {...second!, atMs: 12_000};
			doTest({runs: runs(13_000), rolls: [first!, second!, again]}, [rule]);
		});

		it('finds work at a target that leaves', () => {
			const leaving = {...second!, out: [], leaving: ['register-1']};
			const run = makeRun({event: 'refuse', atMs: 11_500});
			doTest({runs: [run], rolls: [first!, leaving]}, [rule]);
		});
	});

	describe('a graceful shutdown cuts off nothing', () => {
		const rule = 'a graceful shutdown cuts off nothing';

		it('finds a request that was cut off', () => {
			const call = makeCall({status: 0, errorKind: 'ECONNRESET'});
			doTest({calls: [call]}, [rule]);
		});

		it('lets a closed port refuse a connection', () => {
			const call = makeCall({status: 0, errorKind: 'ECONNREFUSED'});
			doTest({calls: [call]}, []);
		});

		it('finds a host that did not end well', () => {
			const [shutdown] = makeHistory().shutdowns;
			doTest({shutdowns: [{...shutdown!, exitCode: 3}]}, [rule]);
		});
	});

	describe('the bundle in force', () => {
		const reverts = 'the bundle in force never reverts';
		const isLate = 'a bundle is in force everywhere within seconds';
		const [one, two] = [makeAdoption(1, 10), makeAdoption(2, 5100)];

		it('finds a lower version in the same life', () => {
			doTest({audits: [one, two, makeAdoption(1, 5200)]}, [reverts]);
		});

		it('finds a new life that starts with a version long replaced', () => {
			const stale = makeAdoption(1, 12_000, {incarnation: 'life-2'});
			doTest({audits: [one, two, stale]}, [reverts]);
		});

		it('finds a host that takes a bundle too late', () => {
			doTest({audits: [one, makeAdoption(2, 11_001)]}, [isLate]);
		});

		it('expects nothing of a host that was away', () => {
			const absence = {host: 'entry-1', fromMs: 6000, toMs: 29_000};
			doTest({audits: [one], absences: [absence]}, []);
		});
	});
});

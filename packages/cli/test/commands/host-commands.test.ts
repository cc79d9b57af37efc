import {
	makeId,
	ManualClock,
	type HostId,
	type IncarnationId,
} from '@bilberryscale/core';
import {AuditTrail, type AuditRecord} from '@bilberryscale/daemon';
import {describe, it} from '@bilberryscale/testing';
import {Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {allCommands} from '../../src/index.js';
import {
	makeFakeFleet,
	runTool,
	type FakeFleet,
	type ToolRun,
} from '../run-tool.js';

const addresses = ['10.0.0.1:8081', '10.0.0.2:8081'];
const hostFlags = addresses.flatMap((address) => ['--host', address]);

const doTest = async (
	args: readonly string[],
	fleet: FakeFleet,
	expectedCode: number,
	expected: readonly string[],
): Promise<ToolRun> => {
	const run = await runTool([...args, ...hostFlags], fleet);
	const printed = `${run.out}\n${run.errors}`;
	assert.is(run.code, expectedCode, printed);
	for (const part of expected) {
		assert.ok(printed.includes(part), `${printed}\ndoes not contain\n${part}`);
	}

	return run;
};

/** Makes hosts that return one response each, in the order of the addresses. */
function respondInOrder(responses: readonly unknown[]): FakeFleet {
	return makeFakeFleet(
		new Map(responses.map((response, index) => [addresses[index]!, response])),
	);
}

function makeStatus(host: string, version: number, isReady = true) {
	return {
		host,
		incarnation: `${host}-incarnation`,
		dataCentre: 'east',
		isReady,
		bundleVersion: version,
		bundleDigest: 'abcdef0123456789',
	};
}

function makeRecords(host: string, count: number, startMs = 0): AuditRecord[] {
	const records: AuditRecord[] = [];
	const clock = new ManualClock();
	clock.advance(startMs);
	const trail = new AuditTrail({
		host: makeId<HostId>(host),
		incarnation: makeId<IncarnationId>(`${host}-incarnation`),
		clock,
		capacity: 100,
		publish: (record) => records.push(record),
	});
	for (let index = 0; index < count; index++) {
		trail.add({
			kind: 'bundle-seen',
			subject: `${host}-${index}`,
			cause: 'test',
		});
		clock.advance(1000);
	}

	return records;
}

describe('status', () => {
	it('shows hosts that agree', async () => {
		const fleet = respondInOrder([makeStatus('a', 3), makeStatus('b', 3)]);
		const run = await doTest(['status'], fleet, 0, [
			'abcdef01',
			'a-incarnation',
		]);
		assert.not.match(run.out, 'disagree');
	});

	it('shows where hosts disagree and which hosts are not ready', async () => {
		await doTest(
			['status'],
			respondInOrder([makeStatus('a', 3), makeStatus('b', 4)]),
			1,
			['hosts disagree on bundleVersion: 3 on a; 4 on b'],
		);
		await doTest(
			['status'],
			respondInOrder([makeStatus('a', 3), makeStatus('b', 3, false)]),
			1,
			['no'],
		);
	});

	it('reports a host that does not respond or returns an invalid document', async () => {
		const fleet = respondInOrder([makeStatus('a', 3)]);
		await doTest(['status'], fleet, 3, ['10.0.0.2:8081: no response']);
		const invalid = respondInOrder([makeStatus('a', 3), {host: 1}]);
		const run = await doTest(['status', '--json'], invalid, 3, ['faults']);
		const document = JSON.parse(run.out) as {hosts: unknown[]};
		assert.is(document.hosts.length, 1);
	});
});

describe('audit', () => {
	it('merges the trails in chronological order', async () => {
		const fleet = respondInOrder([
			makeRecords('a', 2),
			makeRecords('b', 2, 500),
		]);
		const run = await doTest(['audit'], fleet, 0, []);
		const order = run.out.split('\n').map((line) => line.split(' ')[4]);
		assert.equal(order, ['a-0:', 'b-0:', 'a-1:', 'b-1:']);
	});

	it('reports gaps and changed records', async () => {
		const [first, , third] = makeRecords('a', 3);
		const gap = respondInOrder([[first, third], []]);
		await doTest(['audit'], gap, 1, ['10.0.0.1:8081: gap: records 1 to 1']);
		const changed = [{...first!, cause: 'another'}];
		await doTest(['audit'], respondInOrder([changed, []]), 1, ['was changed']);
		await doTest(['audit'], respondInOrder([[{}], []]), 3, ['10.0.0.1:8081']);
	});

	it('fetches only new records when following', async () => {
		const records = makeRecords('a', 3);
		const paths: string[] = [];
		const fleet: FakeFleet = ({host, path}) => {
			if (host !== addresses[0]) {
				return Ok([]);
			}

			paths.push(path);
			return Ok(records.slice(paths.length - 1, paths.length));
		};

		const args = ['audit', '--follow', '--polls', '2'];
		const run = await doTest(args, fleet, 0, []);
		assert.is(run.out.split('\n').length, 3);
		assert.equal(paths, [
			'/audit?from=0',
			'/audit?from=1&incarnation=a-incarnation',
			'/audit?from=2&incarnation=a-incarnation',
		]);
	});
});

describe('explain', () => {
	const call = {
		endedAt: '2026-01-01T00:00:00.000Z',
		requestId: 'r-1',
		service: 'reading',
		outcome: 'status 200',
		durationMs: 4.25,
		decisions: [{afterMs: 0.5, kind: 'send', subject: 'target reading-1'}],
	};

	it('shows the decisions of every host with a record of the request', async () => {
		await doTest(['explain', 'r-1'], respondInOrder([[], [call]]), 0, [
			'10.0.0.2:8081 service reading: status 200 after 4.3 ms',
			'  0.5 ms send: target reading-1',
		]);
	});

	it('reports that no host has a record of the request', async () => {
		const fleet = respondInOrder([[], []]);
		await doTest(['explain', 'r-2'], fleet, 1, ['record of request r-2']);
		await doTest(['explain', 'r 2/..'], fleet, 2, ['seen: r 2/..']);
	});
});

describe('the flags that select hosts', () => {
	it('are reported when missing or malformed', async () => {
		const none = await runTool(['status']);
		assert.is(none.code, 2);
		assert.match(none.errors, '--host or --hosts-file is required');
		const name = await runTool(['status', '--host', 'entry-1:8081']);
		assert.is(name.code, 2);
		assert.match(name.errors, 'seen: entry-1:8081');
	});
});

describe('the help', () => {
	it('has a summary and an example of each command, and a summary of each flag', () => {
		for (const {usage, summary, options, examples} of allCommands) {
			assert.ok(summary.length > 0, usage);
			assert.ok(examples.length > 0, usage);
			for (const option of options) {
				assert.ok(option.summary.length > 0, `${usage} ${option.usage}`);
			}
		}
	});
});

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
import {makeFakeFleet, runTool, type FakeFleet, type ToolRun} from '../run-tool.js';

const addresses = ['10.0.0.1:8081', '10.0.0.2:8081'];
const hostFlags = addresses.flatMap((address) => ['--host', address]);

const doTest = async (
	words: readonly string[],
	hosts: FakeFleet,
	expectedCode: number,
	expected: readonly string[],
): Promise<ToolRun> => {
	const run = await runTool([...words, ...hostFlags], hosts);
	const printed = `${run.out}\n${run.errors}`;
	assert.is(run.code, expectedCode, printed);
	for (const part of expected) {
		assert.ok(printed.includes(part), `${printed}\nlacks\n${part}`);
	}

	return run;
};

/** Gives each host one answer, in the order of the addresses. */
function answerInOrder(answers: readonly unknown[]): FakeFleet {
	return makeFakeFleet(
		new Map(answers.map((answer, index) => [addresses[index]!, answer])),
	);
}

function makeStatus(host: string, version: number, isReady = true) {
	return {
		host,
		incarnation: `${host}-life`,
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
		incarnation: makeId<IncarnationId>(`${host}-life`),
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
		const hosts = answerInOrder([makeStatus('a', 3), makeStatus('b', 3)]);
		const run = await doTest(['status'], hosts, 0, ['abcdef01', 'a-life']);
		assert.not.match(run.out, 'disagree');
	});

	it('shows where hosts disagree and which is not ready', async () => {
		await doTest(
			['status'],
			answerInOrder([makeStatus('a', 3), makeStatus('b', 4)]),
			1,
			['hosts disagree on bundleVersion: 3 on a; 4 on b'],
		);
		await doTest(
			['status'],
			answerInOrder([makeStatus('a', 3), makeStatus('b', 3, false)]),
			1,
			['no'],
		);
	});

	it('tells a host that is silent or answers nonsense', async () => {
		const hosts = answerInOrder([makeStatus('a', 3)]);
		await doTest(['status'], hosts, 3, ['10.0.0.2:8081: does not answer']);
		const nonsense = answerInOrder([makeStatus('a', 3), {host: 1}]);
		const run = await doTest(['status', '--json'], nonsense, 3, ['faults']);
		const document = JSON.parse(run.out) as {hosts: unknown[]};
		assert.is(document.hosts.length, 1);
	});
});

describe('audit', () => {
	it('merges the trails in the order of time', async () => {
		const hosts = answerInOrder([
			makeRecords('a', 2),
			makeRecords('b', 2, 500),
		]);
		const run = await doTest(['audit'], hosts, 0, []);
		const order = run.out.split('\n').map((line) => line.split(' ')[4]);
		assert.equal(order, ['a-0:', 'b-0:', 'a-1:', 'b-1:']);
	});

	it('shows gaps and changes', async () => {
		const [first, , third] = makeRecords('a', 3);
		const gap = answerInOrder([[first, third], []]);
		await doTest(['audit'], gap, 1, ['10.0.0.1:8081: gap: records 1 to 1']);
		const changed = [{...first!, cause: 'another'}];
		await doTest(['audit'], answerInOrder([changed, []]), 1, ['was changed']);
		await doTest(['audit'], answerInOrder([[{}], []]), 3, ['10.0.0.1:8081']);
	});

	it('follows with what is new alone', async () => {
		const records = makeRecords('a', 3);
		const paths: string[] = [];
		const hosts: FakeFleet = ({host, path}) => {
			if (host !== addresses[0]) {
				return Ok([]);
			}

			paths.push(path);
			return Ok(records.slice(paths.length - 1, paths.length));
		};

		const words = ['audit', '--follow', '--polls', '2'];
		const run = await doTest(words, hosts, 0, []);
		assert.is(run.out.split('\n').length, 3);
		assert.equal(paths, [
			'/audit?from=0',
			'/audit?from=1&incarnation=a-life',
			'/audit?from=2&incarnation=a-life',
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

	it('shows the decisions of every host that knows the call', async () => {
		await doTest(['explain', 'r-1'], answerInOrder([[], [call]]), 0, [
			'10.0.0.2:8081 service reading: status 200 after 4.3 ms',
			'  0.5 ms send: target reading-1',
		]);
	});

	it('tells that no host knows it', async () => {
		const hosts = answerInOrder([[], []]);
		await doTest(['explain', 'r-2'], hosts, 1, ['remembers the call r-2']);
		await doTest(['explain', 'r 2/..'], hosts, 2, ['seen: r 2/..']);
	});
});

describe('the flags for hosts', () => {
	it('are told when they are missing or wrong', async () => {
		const none = await runTool(['status']);
		assert.is(none.code, 2);
		assert.match(none.errors, '--host or --hosts-file: is missing');
		const name = await runTool(['status', '--host', 'entry-1:8081']);
		assert.is(name.code, 2);
		assert.match(name.errors, 'seen: entry-1:8081');
	});
});

describe('the help', () => {
	it('has a summary and an example of each command and flag', () => {
		for (const {usage, summary, options, examples} of allCommands) {
			assert.ok(summary.length > 0, usage);
			assert.ok(examples.length > 0, usage);
			for (const option of options) {
				assert.ok(option.summary.length > 0, `${usage} ${option.usage}`);
			}
		}
	});
});

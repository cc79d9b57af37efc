import {once} from 'node:events';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {systemClock} from '@bilberryscale/core';
import {findingKinds, getKeyDigest} from '@bilberryscale/gateway';
import {describe, getFreePorts, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {makeSnapshotFetcher, type SnapshotFetcher} from '../../src/index.js';
import {runTool, TestFolder} from '../run-tool.js';
import {
	getCaseNames,
	getCasePath,
	readCaseFile,
	runCase,
} from './config-check-case.js';

const inputFiles = ['next.json', 'current.json', 'snapshot.json'];
const keyPattern = /\b[\da-z]{20}\b/gv;
const pageText = fs.readFileSync(
	new URL('../../../../docs/operators/config-check.md', import.meta.url),
	'utf8',
);
const validFile = getCasePath('ok', 'next.json');

/** Gets all keys in the inputs of a case; they are the only words with 20 letters and digits there. */
function getKeys(name: string): readonly string[] {
	return inputFiles.flatMap(
		(file) => readCaseFile(name, file)?.match(keyPattern) ?? [],
	);
}

describe('config check', () => {
	describe('reports as in the golden files', () => {
		for (const name of getCaseNames()) {
			it(name, async () => {
				const outputs = await runCase(name);
				for (const [file, text] of outputs) {
					assert.fixture(text, readCaseFile(name, file) ?? '');
				}
			});
		}
	});

	// The golden files could be renewed without a look at them, so this is checked on its own.
	describe('shows no key and no digest of a key', () => {
		for (const name of getCaseNames()) {
			it(name, async () => {
				const outputs = await runCase(name);
				const printed = [...outputs.values()].join('\n');
				for (const key of getKeys(name)) {
					assert.not.match(printed, key);
					assert.not.match(printed, getKeyDigest(key));
				}
			});
		}

		it('with cases that have keys', () => {
			const names = getCaseNames().filter((name) => getKeys(name).length > 0);
			assert.ok(names.length >= 8, names.join(' '));
		});
	});

	it('has a golden case for each kind of finding', () => {
		for (const kind of findingKinds) {
			const output = readCaseFile(kind, 'output.json') ?? '';
			assert.match(output, `"kind": "${kind}"`);
		}
	});

	// Guards against examples in the documentation that the tool no longer prints.
	it('has the output of each golden case but the empty one in the page for operators', () => {
		for (const name of getCaseNames().filter((item) => item !== 'ok')) {
			assert.match(pageText, readCaseFile(name, 'output.txt')!);
		}
	});

	describe('exits with 2', () => {
		const folder = new TestFolder();
		const invalidFile = folder.write('invalid.json', '{}');

		function doTest(
			name: string,
			args: readonly string[],
			expected: RegExp,
			fetchSnapshot?: SnapshotFetcher,
		): void {
			it(name, async () => {
				const run = await runTool(
					['config', 'check', ...args],
					undefined,
					fetchSnapshot,
				);
				assert.is(run.code, 2, run.out);
				assert.match(run.errors, expected);
				assert.is(run.out, '');
			});
		}

		doTest('without a file', [], /missing required args/v);
		doTest(
			'if the file does not exist',
			[folder.getPath('absent.json')],
			/absent\.json: cannot be read: file not found/v,
		);
		doTest(
			'if the file in force does not exist',
			[validFile, '--against', folder.getPath('absent.json')],
			/absent\.json: cannot be read/v,
		);
		doTest(
			'if the file in force is invalid',
			[validFile, '--against', invalidFile],
			/invalid\.json: limits: must be a table/v,
		);
		doTest(
			'with a file and a host in force',
			[validFile, '--against', validFile, '--host', '10.0.0.1:1'],
			/--against and --host: only one/v,
		);
		doTest(
			'with a malformed address',
			[validFile, '--host', 'a.example'],
			/--host: must be an IP address and a port/v,
		);
		doTest(
			'with a port over 65535',
			[validFile, '--host', '10.0.0.1:99999'],
			/--host: must be an IP address and a port/v,
		);
		doTest(
			'with a retry ratio over 1',
			[validFile, '--retry-ratio', '2'],
			/--retry-ratio: must be a number from 0 to 1; seen: 2/v,
		);
		doTest(
			'if the host does not respond',
			[validFile, '--host', '10.0.0.1:1'],
			/10\.0\.0\.1:1: not reached: timed out/v,
			async () => Err('timed out'),
		);
		doTest(
			'if the host has no configuration',
			[validFile, '--host', '10.0.0.1:1'],
			/10\.0\.0\.1:1: has no valid configuration/v,
			async () =>
				Ok({
					isWhole: true,
					changes: [],
					era: 0,
					revision: 1,
					ageMs: 0,
					holdMs: 0,
					via: [],
					viaAgesMs: [],
					heldMs: 0,
				}),
		);

		// Without a timeout, the command would wait for a frozen host forever.
		it('if the host accepts the connection and never responds', async () => {
			const server = net.createServer();
			const sockets: net.Socket[] = [];
			server.on('connection', (socket) => sockets.push(socket));
			await once(server.listen(0, '127.0.0.1'), 'listening');
			const {port} = server.address() as net.AddressInfo;
			const run = await runTool(
				['config', 'check', validFile, '--host', `127.0.0.1:${port}`],
				undefined,
				makeSnapshotFetcher({
					...systemClock,
					schedule: (delayMs, action) =>
						systemClock.schedule(delayMs / 20, action),
				}),
			);
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			assert.is(run.code, 2, run.out);
			assert.match(run.errors, /not reached: no response within 3000 ms/v);
		});

		// The JSON parser quotes about 10 characters around an error, here of a key.
		it('without a quote if the host responds with broken JSON', async () => {
			const server = http.createServer((_request, response) => {
				response.end('{"api_keys":[r26tta828m82thhkmgjq]}');
			});
			await once(server.listen(0, '127.0.0.1'), 'listening');
			const {port} = server.address() as net.AddressInfo;
			const run = await runTool(
				['config', 'check', validFile, '--host', `127.0.0.1:${port}`],
				undefined,
				makeSnapshotFetcher(systemClock),
			);
			server.close();
			server.closeAllConnections();
			assert.is(run.code, 2, run.out);
			assert.match(run.errors, /not reached: the response is not JSON$/v);
		});

		it('if nothing listens at the address', async () => {
			const [port] = await getFreePorts('127.0.0.1', 1);
			const run = await runTool(
				['config', 'check', validFile, '--host', `127.0.0.1:${port}`],
				undefined,
				makeSnapshotFetcher(systemClock),
			);
			assert.is(run.code, 2, run.out);
			assert.match(run.errors, /not reached: .+/v);
		});
	});
});

import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';

const program = fileURLToPath(
	new URL('../../src/bin/bilberryscaled.ts', import.meta.url),
);
const example = fileURLToPath(
	new URL('../../../../docs/examples/entry-1.toml', import.meta.url),
);

describe('bilberryscaled', () => {
	const doTest = (
		args: readonly string[],
		expectedCode: number,
		expectedOutput: string,
	) => {
		const {status, stdout, stderr} = spawnSync(
			process.execPath,
			['--conditions=source', '--import', 'tsx', program, ...args],
			{encoding: 'utf8'},
		);
		assert.is(status, expectedCode, stderr);
		assert.ok(`${stdout}${stderr}`.includes(expectedOutput), stdout + stderr);
		assert.not.match(stderr, /^ +at /mv);
	};

	it('checks the settings and exits', () => {
		doTest(['--settings', example, '--check-settings'], 0, 'entry-1.toml: ok');
	});

	it('reports usage and settings errors without a stack trace', () => {
		doTest(['--setings', example], 2, '--setings');
		doTest([], 2, '--settings: a settings file is required');
		doTest(['--settings', '/no/such.toml'], 2, '/no/such.toml');
	});

	it('reports that it cannot start', () => {
		// The example's IP addresses are reserved for documentation (RFC 5737), so listening on them fails.
		doTest(['--settings', example], 1, 'cannot start');
	});
});

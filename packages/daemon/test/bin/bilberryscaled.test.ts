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
		words: readonly string[],
		expectedCode: number,
		expected: string,
	) => {
		const {status, stdout, stderr} = spawnSync(
			process.execPath,
			['--conditions=source', '--import', 'tsx', program, ...words],
			{encoding: 'utf8'},
		);
		assert.is(status, expectedCode, stderr);
		assert.ok(`${stdout}${stderr}`.includes(expected), stdout + stderr);
		assert.not.match(stderr, /^ +at /mv);
	};

	it('checks settings and exits', () => {
		doTest(['--settings', example, '--check-settings'], 0, 'entry-1.toml: ok');
	});

	it('tells mistakes in one line', () => {
		doTest(['--setings', example], 2, '--setings');
		doTest([], 2, '--settings: the settings file is missing');
		doTest(['--settings', '/no/such.toml'], 2, '/no/such.toml');
	});

	it('tells that it cannot start', () => {
		// The example's IP numbers are for documentation (RFC 5737), no machine has them.
		doTest(['--settings', example], 1, 'cannot start');
	});
});

import fs from 'node:fs';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {readExample, runTool, TestFolder, type ToolRun} from '../run-tool.js';

const folder = new TestFolder();
const text = readExample('bundle.toml');
const first = folder.write('first.toml', text);
const second = folder.write(
	'second.toml',
	text
		.replace('version = 1', 'version = 2')
		.replace('id = "bayangol", state = "in"', 'id = "bayangol", state = "out"'),
);
const empty = folder.write('empty.toml', '');

const doTest = async (
	args: readonly string[],
	expectedCode: number,
	expected: string,
): Promise<ToolRun> => {
	const run = await runTool(args);
	const printed = `${run.out}\n${run.errors}`;
	assert.is(run.code, expectedCode, printed);
	assert.ok(
		printed.includes(expected),
		`${printed}\ndoes not contain\n${expected}`,
	);
	assert.not.match(printed, /^ +at /mv);
	return run;
};

/** Signs a bundle into a folder with each signer's key, generating keys that do not exist yet. */
async function publish(out: string, file: string, signers = ['ana', 'bat']) {
	for (const signer of signers) {
		const key = folder.getPath(`${signer}.key.pem`);
		if (!fs.existsSync(key)) {
			await runTool(['keys', 'generate', folder.getPath(signer)]);
		}

		await doTest(
			['bundle', 'sign', file, '--signer', signer, '--key', key, '--out', out],
			0,
			signer,
		);
	}
}

function writeTrust(signers: readonly string[], threshold: number): string {
	const keys = signers.map((signer) => {
		const pem = fs.readFileSync(folder.getPath(`${signer}.pub.pem`), 'utf8');
		return `[[keys]]\nsigner = "${signer}"\npublicKey = """\n${pem}"""\n`;
	});
	return folder.write(
		'trust.toml',
		`threshold = ${threshold}\n${keys.join('')}`,
	);
}

describe('bundle check', () => {
	it('accepts the documented example without a warning', async () => {
		await doTest(
			['bundle', 'check', first, '--hosts', '16', '--strict'],
			0,
			'ok, version 1',
		);
	});

	it('warns, and fails on warnings with --strict', async () => {
		const load = ['--load', '0.9'];
		await doTest(['bundle', 'check', second, ...load], 0, 'warning: service');
		await doTest(
			['bundle', 'check', second, ...load, '--strict'],
			1,
			'warning: service "reading" keeps 24 of 36 slots',
		);
	});

	it('compares the version with the last published one', async () => {
		const out = folder.getPath('last');
		await publish(out, second);
		await doTest(
			['bundle', 'check', first, '--last', out, '--strict'],
			1,
			'version 1 is not above 2',
		);
	});

	it('reports errors, also as JSON', async () => {
		await doTest(['bundle', 'check', empty], 1, 'version');
		const run = await doTest(['bundle', 'check', empty, '--json'], 1, 'faults');
		const document = JSON.parse(run.out) as {faults: string[]};
		assert.ok(document.faults.length > 0);
		assert.is(run.errors, '');
	});
});

describe('bundle sign and verify', () => {
	it('verifies a bundle with several signatures', async () => {
		const out = folder.getPath('signed');
		await publish(out, first);
		const trust = writeTrust(['ana', 'bat'], 2);
		await doTest(
			['bundle', 'verify', out, '--trust', trust],
			0,
			'version 1 is signed by ana, bat',
		);
	});

	it('rejects too few signatures and a changed or missing part', async () => {
		const out = folder.getPath('broken');
		await publish(out, first, ['ana']);
		const verify = ['bundle', 'verify', out, '--trust'];
		const both = writeTrust(['ana', 'bat'], 2);
		await doTest(
			[...verify, both],
			1,
			'signed by 1 trusted keys (ana), needs 2',
		);
		const one = writeTrust(['ana', 'bat'], 1);
		const [part] = fs.readdirSync(`${out}/parts`);
		fs.writeFileSync(`${out}/parts/${part}`, '{}');
		await doTest([...verify, one], 1, 'digest');
		fs.rmSync(`${out}/parts/${part}`);
		await doTest([...verify, one], 1, 'missing');
	});

	it('rejects different content for a version that was signed', async () => {
		const out = folder.getPath('twice');
		await publish(out, first);
		const other = folder.write('other.toml', text.replace('= 64', '= 65'));
		const key = folder.getPath('ana.key.pem');
		await doTest(
			['bundle', 'sign', other, '--signer', 'ana', '--key', key, '--out', out],
			1,
			'raise the version above it',
		);
	});
});

describe('bundle diff and show', () => {
	it('describe the changes and the content', async () => {
		await doTest(
			['bundle', 'diff', first, second],
			0,
			'data centre "bayangol" is taken out',
		);
		await doTest(['bundle', 'diff', first, first], 0, 'no changes');
		await doTest(['bundle', 'diff', first, empty], 1, 'version');
		await doTest(
			['bundle', 'show', second],
			0,
			'service register: 6 targets with 24 slots',
		);
	});

	it('read a published folder', async () => {
		const out = folder.getPath('shown');
		await publish(out, first);
		await doTest(['bundle', 'show', out], 0, 'version 1');
		await doTest(['bundle', 'diff', out, first], 0, 'no changes');
	});
});

describe('usage errors', () => {
	it('are reported without a stack trace', async () => {
		const absent = folder.getPath('absent.toml');
		await doTest(['bundle', 'check', absent], 2, 'file not found');
		await doTest(['bundle', 'check'], 2, 'missing required args');
		await doTest(['bundle', 'check', first, '--stric'], 2, '--stric');
		await doTest(['bundle', 'check', first, '--hosts', 'x'], 2, 'seen: x');
		await doTest(['bundle', 'check', first, '--last', first], 2, 'manifest');
		await doTest(['bundle', 'sign', first], 2, '--signer is required');
		await doTest(['bundle', 'verify', absent], 2, '--trust is required');
		await doTest(
			['bundle', 'verify', absent, '--trust', empty],
			2,
			'threshold',
		);
		await doTest(['bundle', 'rol'], 2, 'unknown command "bundle rol"');
		await doTest([], 2, 'missing command');
	});

	it('include a key file that already exists or cannot be written', async () => {
		const name = folder.getPath('once');
		await doTest(['keys', 'generate', name], 0, 'keep it secret');
		assert.is(fs.statSync(`${name}.key.pem`).mode % 0o1000, 0o600);
		await doTest(['keys', 'generate', name], 2, 'already exists');
		const unknown = folder.getPath('no/such/folder/key');
		await doTest(['keys', 'generate', unknown], 2, 'cannot be written');
	});
});

describe('settings check', () => {
	it('accepts the documented example and reports errors', async () => {
		const good = readExample('entry-1.toml');
		const settings = folder.write('entry.toml', good);
		await doTest(['settings', 'check', settings], 0, 'ok');
		const bad = folder.write('bad.toml', good.replace('8080', '80800'));
		await doTest(['settings', 'check', bad], 1, 'seen: 80800');
		await doTest(['settings', 'check', empty, '--json'], 1, 'seen: nothing');
	});
});

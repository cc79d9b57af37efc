import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {parseBundle} from '../../src/index.js';
import {smallBundleText} from '../fixtures.js';

describe('parseBundle', () => {
	it('reads a bundle', () => {
		const bundle = parseBundle(smallBundleText, 'b.toml').unwrap();
		assert.is(bundle.version, 3);
		assert.is(bundle.services[0]?.targets.length, 2);
	});

	describe('faults', () => {
		const doTest = (from: string, to: string, expected: string) => {
			const text = smallBundleText.replace(from, to);
			const faults = parseBundle(text, 'b.toml').unwrapErr();
			assert.ok(
				faults.some((fault) => fault.includes(expected)),
				`${faults.join('\n')}\nlacks\n${expected}`,
			);
		};

		it('names the key and the value seen', () => {
			doTest('port = 8001', 'port = 0', 'services.0.targets.0.port');
			doTest('port = 8001', 'port = 0', 'seen: 0');
		});

		it('refuses unknown keys', () => {
			doTest('version = 3', 'version = 3\nvresion = 3', 'vresion');
		});

		it('refuses what is not TOML', () => {
			doTest('version = 3', 'version = = 3', 'b.toml: ');
		});

		it('refuses a target in an unknown data centre', () => {
			doTest('dataCentre = "west"', 'dataCentre = "south"', '"south"');
		});

		it('refuses a target id that stands twice', () => {
			doTest('id = "reading-2"', 'id = "reading-1"', 'more than once');
		});

		it('refuses a cold allowance above the slots', () => {
			doTest('coldAllowance = 1', 'coldAllowance = 9', 'allows 9 requests');
		});
	});
});

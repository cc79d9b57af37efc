import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {parseBundle} from '../../src/index.js';
import {smallBundleText} from '../fixtures.js';

describe('parseBundle', () => {
	it('parses a bundle', () => {
		const bundle = parseBundle(smallBundleText, 'b.toml').unwrap();
		assert.is(bundle.version, 3);
		assert.is(bundle.services[0]?.targets.length, 2);
	});

	describe('errors', () => {
		const doTest = (from: string, to: string, expected: string) => {
			const text = smallBundleText.replace(from, to);
			const errors = parseBundle(text, 'b.toml').unwrapErr();
			assert.ok(
				errors.some((error) => error.includes(expected)),
				`${errors.join('\n')}\ndoes not contain\n${expected}`,
			);
		};

		it('includes the key and the invalid value', () => {
			doTest('port = 8001', 'port = 0', 'services.0.targets.0.port');
			doTest('port = 8001', 'port = 0', 'seen: 0');
		});

		it('rejects unknown keys', () => {
			doTest('version = 3', 'version = 3\nvresion = 3', 'vresion');
		});

		it('rejects invalid TOML', () => {
			doTest('version = 3', 'version = = 3', 'b.toml: ');
		});

		it('rejects a target in an unknown data centre', () => {
			doTest('dataCentre = "west"', 'dataCentre = "south"', '"south"');
		});

		it('rejects a duplicate target id', () => {
			doTest('id = "reading-2"', 'id = "reading-1"', 'more than once');
		});

		it('rejects a cold allowance above the number of slots', () => {
			doTest('coldAllowance = 1', 'coldAllowance = 9', 'allows 9 requests');
		});
	});
});

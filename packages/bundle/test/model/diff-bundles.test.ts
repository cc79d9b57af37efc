import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {diffBundles, parseBundle} from '../../src/index.js';
import {smallBundleText} from '../fixtures.js';

describe('diffBundles', () => {
	const doTest = (
		from: string,
		to: string,
		expected: readonly string[],
		isReversed = false,
	) => {
		const former = parseBundle(smallBundleText, 'a.toml').unwrap();
		const changed = smallBundleText.replace(from, to);
		const current = parseBundle(changed, 'b.toml').unwrap();
		assert.equal(
			isReversed ? diffBundles(current, former) : diffBundles(former, current),
			expected,
		);
	};

	const target = smallBundleText.slice(
		smallBundleText.lastIndexOf('[[services.targets]]'),
	);

	it('finds nothing between equal bundles', () => {
		doTest('', '', []);
	});

	it('tells the version', () => {
		doTest('version = 3', 'version = 4', ['the version changes from 3 to 4']);
	});

	it('tells a data centre out and in', () => {
		const from = 'id = "west"\nstate = "in"';
		const to = 'id = "west"\nstate = "out"';
		doTest(from, to, [
			'data centre "west" is taken out: no new work goes there',
		]);
		doTest(from, to, ['data centre "west" is brought back in'], true);
	});

	it('tells a limit and a target', () => {
		doTest('queueLength = 10', 'queueLength = 20', [
			'service "reading": limits.queueLength changes from 10 to 20',
		]);
		doTest('port = 8001', 'port = 8009', [
			'target "reading-1": port changes from 8001 to 8009',
		]);
		doTest('delayMs = 1.5', 'delayMs = 2', [
			'distance "east to west": delayMs changes from 1.5 to 2',
		]);
	});

	it('tells what is added and removed', () => {
		doTest(target, '', ['target "reading-2" is removed']);
		doTest(target, '', ['target "reading-2" is added'], true);
		doTest('name = "reading"\n', 'name = "texts"\n', [
			'service "texts" is added with 2 targets',
			'service "reading" is removed',
		]);
	});
});

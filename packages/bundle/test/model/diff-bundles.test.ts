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
		const previous = parseBundle(smallBundleText, 'a.toml').unwrap();
		const changed = smallBundleText.replace(from, to);
		const current = parseBundle(changed, 'b.toml').unwrap();
		assert.equal(
			isReversed
				? diffBundles(current, previous)
				: diffBundles(previous, current),
			expected,
		);
	};

	const target = smallBundleText.slice(
		smallBundleText.lastIndexOf('[[services.targets]]'),
	);

	it('finds no changes between equal bundles', () => {
		doTest('', '', []);
	});

	it('reports a changed version', () => {
		doTest('version = 3', 'version = 4', ['the version changes from 3 to 4']);
	});

	it('reports a data centre that is drained or returned to service', () => {
		const from = 'id = "west"\nstate = "in"';
		const to = 'id = "west"\nstate = "out"';
		doTest(from, to, [
			'data centre "west" is taken out of service: it gets no new requests',
		]);
		doTest(from, to, ['data centre "west" is returned to service'], true);
	});

	it('reports a changed limit, target and distance', () => {
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

	it('reports added and removed targets and services', () => {
		doTest(target, '', ['target "reading-2" is removed']);
		doTest(target, '', ['target "reading-2" is added'], true);
		doTest('name = "reading"\n', 'name = "texts"\n', [
			'service "texts" is added with 2 targets',
			'service "reading" is removed',
		]);
	});
});

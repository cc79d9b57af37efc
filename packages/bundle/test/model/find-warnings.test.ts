import {makeId, type BundleVersion} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	findWarnings,
	parseBundle,
	type WarningContext,
	type WarningKind,
} from '../../src/index.js';
import {smallBundleText} from '../fixtures.js';

describe('findWarnings', () => {
	const doTest = (
		change: (text: string) => string,
		context: Partial<WarningContext>,
		expected: readonly WarningKind[],
	) => {
		const bundle = parseBundle(change(smallBundleText), 'b.toml').unwrap();
		const warnings = findWarnings(bundle, {expectedLoad: 0.6, ...context});
		assert.equal(
			warnings.map(({kind}) => kind),
			expected,
		);
	};

	const unchanged = (text: string) => text;
	const drainWest = (text: string) =>
		text.replace('id = "west"\nstate = "in"', 'id = "west"\nstate = "out"');
	const version = (value: number) => makeId<BundleVersion>(value);

	it('has no warnings for a bundle without problems', () => {
		doTest(unchanged, {}, []);
		doTest(unchanged, {hostCount: 220, lastPublishedVersion: version(2)}, []);
	});

	it('warns of a version that is not above the last published version', () => {
		doTest(unchanged, {lastPublishedVersion: version(3)}, [
			'version-not-above',
		]);
		doTest(unchanged, {lastPublishedVersion: version(4)}, [
			'version-not-above',
		]);
	});

	it('warns of a drained data centre whose load exceeds the remaining slots', () => {
		doTest(drainWest, {}, ['rest-too-small']);
		doTest(drainWest, {expectedLoad: 0.5}, []);
	});

	it('warns of a service whose targets are all in drained data centres', () => {
		const drainAll = (text: string) => text.replaceAll('"in"', '"out"');
		doTest(drainAll, {}, ['service-out']);
	});

	it('warns of a service without targets', () => {
		const removeTargets = (text: string) =>
			`${text.slice(0, text.indexOf('[[services.targets]]'))}targets = []\n`;
		doTest(removeTargets, {}, ['service-without-targets']);
	});

	it('warns of targets that accept fewer connections than there are hosts', () => {
		doTest(unchanged, {hostCount: 221}, [
			'connections-over-limit',
			'connections-over-limit',
		]);
	});
});

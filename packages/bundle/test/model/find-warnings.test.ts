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
		const warnings = findWarnings(bundle, {load: 0.6, ...context});
		assert.equal(
			warnings.map(({kind}) => kind),
			expected,
		);
	};

	const keep = (text: string) => text;
	const takeOut = (text: string) =>
		text.replace('id = "west"\nstate = "in"', 'id = "west"\nstate = "out"');
	const version = (value: number) => makeId<BundleVersion>(value);

	it('has none for a bundle in order', () => {
		doTest(keep, {}, []);
		doTest(keep, {hosts: 220, lastVersion: version(2)}, []);
	});

	it('tells a version that is not above the last', () => {
		doTest(keep, {lastVersion: version(3)}, ['version-not-above']);
		doTest(keep, {lastVersion: version(4)}, ['version-not-above']);
	});

	it('tells a data centre out whose load the rest cannot carry', () => {
		doTest(takeOut, {}, ['rest-too-small']);
		doTest(takeOut, {load: 0.5}, []);
	});

	it('tells a service whose targets are all out', () => {
		const all = (text: string) => text.replaceAll('"in"', '"out"');
		doTest(all, {}, ['service-out']);
	});

	it('tells a service without targets', () => {
		const none = (text: string) =>
			`${text.slice(0, text.indexOf('[[services.targets]]'))}targets = []\n`;
		doTest(none, {}, ['service-without-targets']);
	});

	it('tells targets that bear fewer connections than there are hosts', () => {
		doTest(keep, {hosts: 221}, [
			'connections-over-limit',
			'connections-over-limit',
		]);
	});
});

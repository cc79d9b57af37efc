import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	makeLogger,
	type Log,
	type LogLine,
} from '../../src/logging/make-logger.js';
import {parseSettings} from '../../src/settings/load-settings.js';
import {getSettingsText} from '../settings/settings-fixture.js';

describe('makeLogger', () => {
	const doTest = (
		write: (log: Log) => void,
		expected: ReadonlyArray<Partial<LogLine>>,
	) => {
		const lines: string[] = [];
		const {settings} = parseSettings(getSettingsText(), 's.toml').unwrap();
		write(makeLogger(settings, 'incarnation-1', (line) => lines.push(line)));
		const parsed = lines.map((line) => {
			assert.is(line.indexOf('\n'), line.length - 1);
			const {at, ...rest} = JSON.parse(line) as LogLine;
			assert.ok(Number.isFinite(Date.parse(at)));
			return rest;
		});
		const origin = {host: 'entry-1', incarnation: 'incarnation-1'};
		assert.equal(
			parsed,
			expected.map((line) => ({...origin, ...line})),
		);
	};

	it('writes one JSON object per line', () => {
		doTest(
			(log) => log.warn('two\nlines', {count: 1}),
			[{level: 'warn', message: 'two\nlines', fields: {count: 1}}],
		);
	});

	it('moves the request id to the top level', () => {
		doTest(
			(log) => log.error('failed', {requestId: 'r-1', cause: 'x'}),
			[
				{
					level: 'error',
					message: 'failed',
					requestId: 'r-1',
					fields: {cause: 'x'},
				},
			],
		);
	});

	it('omits messages below the configured level', () => {
		doTest((log) => log.debug('detail'), []);
	});
});

import fs from 'node:fs';
import {answerTable, errorKinds} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';

const pages = new URL('../../../../docs/', import.meta.url);
const msPerSecond = 1000;

function readRows(page: string): string[][] {
	return fs
		.readFileSync(new URL(page, pages), 'utf8')
		.split('\n')
		.filter((line) => /^\| [a-z][a-z\-]+ +\| /v.test(line))
		.map((line) =>
			line
				.split('|')
				.slice(1)
				.map((cell) => cell.trim()),
		);
}

describe('the pages about error kinds', () => {
	it('CALLERS.md has the table from kind to answer', () => {
		const rows = readRows('CALLERS.md')
			.filter((cells) => /^\d{3}$/v.test(cells[1]!))
			.map((cells) => [cells[0], cells[1], cells[3]]);
		const expected = errorKinds.map((kind) => {
			const {status, retryAfterMs} = answerTable[kind];
			const retryAfter =
				retryAfterMs === undefined ? '–' : `${retryAfterMs / msPerSecond} s`;
			return [kind, String(status), retryAfter];
		});
		assert.equal(rows, expected);
	});

	it('operators/errors.md has a row for each kind', () => {
		const kinds = readRows('operators/errors.md').map(([kind]) => kind);
		assert.equal(
			kinds.filter((kind) => kind !== 'kind'),
			[...errorKinds],
		);
	});
});

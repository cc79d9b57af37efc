import fs from 'node:fs';
import {answerTable, errorKinds} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';

const docsUrl = new URL('../../../../docs/', import.meta.url);
const msPerSecond = 1000;

function readTableRows(page: string): string[][] {
	return fs
		.readFileSync(new URL(page, docsUrl), 'utf8')
		.split('\n')
		.filter((line) => /^\| [a-z][a-z\-]+ +\| /v.test(line))
		.map((line) =>
			line
				.split('|')
				.slice(1)
				.map((cell) => cell.trim()),
		);
}

describe('the documentation of error kinds', () => {
	it('CALLERS.md lists status and Retry-After of each kind', () => {
		const rows = readTableRows('CALLERS.md')
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
		const kinds = readTableRows('operators/errors.md').map(([kind]) => kind);
		assert.equal(
			kinds.filter((kind) => kind !== 'kind'),
			[...errorKinds],
		);
	});
});

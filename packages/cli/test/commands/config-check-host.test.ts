import fs from 'node:fs';
import {systemClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makePlanItem} from '../../../../platform/test/store-items.js';
import {withSystem} from '../../../../platform/test/test-system.js';
import {makeSnapshotFetcher} from '../../src/index.js';
import {runTool, TestFolder} from '../run-tool.js';

describe('config check', () => {
	// Guards against a change of the snapshot protocol that the tool does not follow.
	it('compares a file with what a running host has in force', async () => {
		const file = new TestFolder().getPath('next.json');
		await withSystem(async ({peerUrl}) => {
			const {host} = new URL(peerUrl);
			const check = async (text: string) => {
				fs.writeFileSync(file, text);
				return runTool(
					['config', 'check', file, '--host', host, '--json'],
					undefined,
					makeSnapshotFetcher(systemClock),
				);
			};

			const next = await check(makePlanItem(2, 1200));
			assert.is(next.code, 0, next.errors);
			const {against, differences} = JSON.parse(next.out) as {
				against: unknown;
				differences: ReadonlyArray<{key: string; former: unknown}>;
			};
			assert.equal(against, {source: host, version: '00000001'});
			const keys = new Set(differences.map(({key}) => key));
			assert.equal([...keys], ['version', 'timeout_ms']);
			assert.is(differences[1]?.former, 1000);

			const same = await check(makePlanItem(1));
			assert.is(same.code, 1, same.errors);
			assert.match(same.out, /"kind":"version-not-higher"/v);
		});
	});
});

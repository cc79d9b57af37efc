import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {playSession, readGoldenFile, sessions} from '../../src/index.js';

describe('golden sessions', () => {
	for (const name of Object.keys(sessions)) {
		it(`"${name}" goes as its golden file says`, async () => {
			assert.equal(await playSession(name), readGoldenFile(name));
		});
	}
});

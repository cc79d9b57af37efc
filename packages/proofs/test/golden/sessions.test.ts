import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {runSession, readGoldenFile, sessions} from '../../src/index.js';

describe('golden sessions', () => {
	for (const name of Object.keys(sessions)) {
		it(`"${name}" matches its golden file`, async () => {
			assert.equal(await runSession(name), readGoldenFile(name));
		});
	}
});

import type {Service, Target} from '@bilberryscale/bundle';
import {
	makeId,
	ManualClock,
	type DataCentreId,
	type TargetId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ConnectionPools} from '../../src/upstream/connection-pools.js';

function makeTarget(port: number, connections: number): Target {
	return {
		id: makeId<TargetId>(`target-${port}`),
		address: '127.0.0.1',
		port,
		dataCentre: makeId<DataCentreId>('east'),
		slots: 4,
		connections,
		coldAllowance: 1,
	};
}

function makePools(): ConnectionPools {
	return new ConnectionPools({
		clock: new ManualClock(),
		localAddress: '127.0.0.1',
		getHostCount: () => 2,
	});
}

describe('ConnectionPools', () => {
	it('applies the connection limit of a later bundle', () => {
		const pools = makePools();
		const former = pools.getPool(makeTarget(9, 20));
		const pool = pools.getPool(makeTarget(9, 4));
		assert.is(pool, former);
		for (let count = 0; count < 5; count++) {
			pool.acquire(true);
		}

		assert.is(pool.size, 2);
	});

	it('removes the pools of targets missing from a later bundle', () => {
		const pools = makePools();
		const [gone, kept] = [makeTarget(8, 4), makeTarget(9, 4)];
		const [gonePool, keptPool] = [pools.getPool(gone), pools.getPool(kept)];
		pools.retainTargets({services: [{targets: [kept]} as unknown as Service]});
		assert.is(pools.getPool(makeTarget(9, 4)), keptPool);
		assert.is.not(pools.getPool(makeTarget(8, 4)), gonePool);
	});
});

/**
 * Load: a full service. Guards against a change of behaviour for services whose
 * requests all have one priority, hosts that leave different targets' slots free,
 * and changes of admission that no log line shows.
 */

import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {ServiceCapacity} from '../../src/capacity/service-capacity.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {makeRegisteredTarget, makeTestLog, reading} from '../fixtures.js';

const targetCount = 100;
const slots = 6;

function makeHost(ranks: readonly number[], initialLoad: number) {
	const clock = new ManualClock();
	const {log, lines} = makeTestLog(clock);
	let load = initialLoad;
	const getTargets = () =>
		Array.from({length: targetCount}, (_, index) => ({
			registration: makeRegisteredTarget(`i-${index}`),
			slots,
			load,
			report: {
				receivedAtMs: clock.monotonicMs(),
				running: load,
				waiting: 0,
				slots,
				slowdownFactor: 1,
			},
		}));
	const capacity = new ServiceCapacity({
		clock,
		log,
		metrics: new GatewayMetrics(),
		getTargets,
		getHostCount: () => 10,
	});
	capacity.setRanks(new Map([[reading, ranks]]));
	return {
		capacity,
		lines,
		/** Sets the load of all targets and lets reservations be decided again. */
		setLoad(value: number) {
			load = value;
			clock.advance(20_000);
			capacity.addRequest(reading, 0, 1000);
			capacity.isShort(reading, 2);
		},
		/** Gets the targets that a request may be sent to. */
		getAllowed(priority: number): string[] {
			return getTargets()
				.filter((target) =>
					capacity.canTake({service: reading, priority}, target, false),
				)
				.map(({registration}) => registration.id);
		},
	};
}

describe('ServiceCapacity', () => {
	describe('a service with one priority', () => {
		it('leaves no slots free, has no shortage and sends no gossip', () => {
			const {capacity, lines, getAllowed, setLoad} = makeHost([1], slots);
			setLoad(slots);
			assert.is(getAllowed(1).length, targetCount);
			assert.not(capacity.isPrioritized(reading));
			assert.not(capacity.isShort(reading, 1));
			assert.equal(capacity.getRecords(), []);
			assert.equal(lines, []);
		});
	});

	describe('canTake', () => {
		it('takes any free slot below the threshold of utilization', () => {
			const {getAllowed, setLoad} = makeHost([0, 2], 3);
			setLoad(3);
			assert.is(getAllowed(2).length, targetCount);
		});

		it('leaves two slots of some targets free above it, the same at all hosts', () => {
			const first = makeHost([0, 2], slots - 1);
			const second = makeHost([0, 2], slots - 1);
			first.setLoad(slots - 1);
			second.setLoad(slots - 1);
			const allowed = first.getAllowed(2);
			assert.ok(allowed.length < 0.85 * targetCount, `${allowed.length}`);
			assert.ok(allowed.length > 0.6 * targetCount, `${allowed.length}`);
			assert.equal(second.getAllowed(2), allowed);
		});

		it('sends urgent requests to the slots that others leave free', () => {
			const {getAllowed, setLoad} = makeHost([0, 2], slots - 1);
			setLoad(slots - 1);
			const patientTargets = new Set(getAllowed(2));
			const urgentTargets = getAllowed(0);
			assert.is(urgentTargets.length + patientTargets.size, targetCount);
			assert.not(urgentTargets.some((id) => patientTargets.has(id)));
		});

		it('sends urgent requests to no full target', () => {
			const {getAllowed, setLoad} = makeHost([0, 2], slots);
			setLoad(slots);
			assert.equal(getAllowed(0), []);
		});
	});

	describe('log', () => {
		it('has a line with the inputs and their age when the admission of a rank changes', () => {
			const {lines, setLoad} = makeHost([0, 2], 3);
			for (const load of [3, 6, 6, 4, 3, 3]) {
				setLoad(load);
			}

			assert.equal(
				lines.map(({message, rank, reservedSlots}) => [
					message,
					rank,
					reservedSlots,
				]),
				[
					['rank admission changed', 2, 2],
					['rank admission changed', 2, 0],
				],
			);
			assert.is(lines[0]!.utilization, 1);
			assert.is(lines[0]!.reportAgeMs, 0);
		});
	});

	describe('addRecords', () => {
		it('ignores services without several priorities here', () => {
			const {capacity, lines} = makeHost([1], 0);
			capacity.addRecords([
				{service: reading, utilization: 1, demand: new Map([[0, 5]])},
			]);
			assert.equal(capacity.getRecords(), []);
			assert.equal(lines, []);
		});
	});
});

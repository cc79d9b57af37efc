/** Tests fairness when one class sends ten times the load of another. */

import {
	makeId,
	ManualClock,
	type CallerClass,
	type RequestId,
} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import type {
	Decision,
	ServiceDispatcher,
	TargetState,
} from '../../src/index.js';
import {
	makeCall,
	makeDispatcher,
	makeOutcome,
	makeService,
} from '../fixtures.js';

const reader = makeId<CallerClass>('reader');
const press = makeId<CallerClass>('press');
const serviceTimeMs = 20;
const rounds = 200;

/** Serves granted calls after the service time, and counts calls by outcome. */
class DispatcherSimulation {
	readonly clock = new ManualClock();
	readonly served = new Map<CallerClass, number>();
	readonly refused = new Map<CallerClass, number>();
	readonly #dispatcher: ServiceDispatcher;

	constructor(dispatcher: ServiceDispatcher) {
		this.#dispatcher = dispatcher;
	}

	offer(callerClass: CallerClass, number: number): void {
		const requestId = makeId<RequestId>(`${callerClass}-${number}`);
		const call = makeCall({callerClass, requestId});
		const nowMs = this.clock.monotonicMs();
		const {decision, settled} = this.#dispatcher.offer(call, nowMs);
		this.#applyDecisions([...settled, decision]);
	}

	#applyDecisions(decisions: readonly Decision[]): void {
		for (const decision of decisions) {
			const {callerClass} = decision.call;
			if (decision.kind === 'refusal') {
				count(this.refused, callerClass);
			} else if (decision.kind === 'grant') {
				count(this.served, callerClass);
				this.#serve(decision.target);
			}
		}
	}

	#serve(target: TargetState): void {
		this.clock.schedule(serviceTimeMs, () => {
			const nowMs = this.clock.monotonicMs();
			const outcome = makeOutcome('served', {}, nowMs);
			this.#applyDecisions(this.#dispatcher.finish(target, outcome, nowMs));
		});
	}
}

function count(counts: Map<CallerClass, number>, name: CallerClass): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}

describe('a class at ten times the load of another', () => {
	it('does not starve the other class or leave slots idle', () => {
		const {dispatcher} = makeDispatcher(makeService(1));
		const simulation = new DispatcherSimulation(dispatcher);
		for (let round = 0; round < rounds; round++) {
			for (let number = 0; number < 10; number++) {
				simulation.offer(press, number);
			}

			simulation.offer(reader, round);
			simulation.clock.advance(serviceTimeMs);
		}

		assert.is(simulation.refused.get(reader) ?? 0, 0);
		assert.ok(simulation.served.get(reader)! >= rounds - 2);
		const total =
			simulation.served.get(reader)! + simulation.served.get(press)!;
		assert.ok(total >= 4 * (rounds - 1), String(total));
	});
});

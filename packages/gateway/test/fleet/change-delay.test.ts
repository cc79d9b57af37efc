/**
 * Changes while hosts lose the store or fall silent, any number of them at once, in a
 * model of a fleet. Guards against waits in series that nothing bounds: the more hosts
 * failed, the later a change was in force at the others.
 */

import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {SnapshotFleet, type ModelHost} from './snapshot-fleet.js';

const changeCount = 4;
/** The time in which all hosts have chosen their sources, in milliseconds. */
const settlingMs = 3000;
/** How long before a change the hosts fail, in milliseconds. */
const leadsMs = [0, 20, 200, 400];
/** How long after a change the hosts recover, in milliseconds. */
const recoveryMs = 3100;

type Disruption = (host: ModelHost, isFailing: boolean) => void;

const loseStore: Disruption = (host, isFailing) => {
	host.isCut = isFailing;
};

const fallSilent: Disruption = (host, isFailing) => {
	host.isCut = isFailing;
	host.isSilent = isFailing;
};

describe('a change of the plan, in a model of a fleet', () => {
	function doTest(
		name: string,
		input: {
			readonly hostCount: number;
			readonly boundMs: number;
			readonly getFailing: (fleet: SnapshotFleet) => readonly ModelHost[];
			readonly disrupt: Disruption;
		},
	): void {
		it(`${name}, ${input.hostCount} hosts, bound ${input.boundMs} ms`, async () => {
			const {hostCount, boundMs, getFailing, disrupt} = input;
			const fleet = new SnapshotFleet(hostCount, boundMs);
			fleet.start();
			await fleet.run(settlingMs);
			const failing = getFailing(fleet);
			const others = fleet.hosts.filter((host) => !failing.includes(host));
			const delays: number[] = [];
			for (let count = 0; count < changeCount; count++) {
				for (const host of failing) {
					disrupt(host, true);
				}

				await fleet.run(leadsMs[count % leadsMs.length]!);
				fleet.publish();
				delays.push(
					await fleet.run(boundMs * 2, () =>
						others.every(({feed}) => feed.position.revision === fleet.revision),
					),
				);
				for (const host of failing) {
					disrupt(host, false);
				}

				await fleet.run(recoveryMs);
			}

			fleet.stop();
			assert.ok(Math.max(...delays) <= boundMs / 2, `${delays.join(', ')} ms`);
		});
	}

	describe('is in force after half of the bound', () => {
		for (const hostCount of [16, 100, 312]) {
			const boundMs = 2000;
			doTest('while all hosts reach the store', {
				hostCount,
				boundMs,
				getFailing: () => [],
				disrupt: loseStore,
			});
			doTest('while the host that reads it for all loses it', {
				hostCount,
				boundMs,
				getFailing: (fleet) => fleet.getFirstHosts(1).slice(0, 1),
				disrupt: loseStore,
			});
			doTest('while the first host of each data centre loses it', {
				hostCount,
				boundMs,
				getFailing: (fleet) => fleet.getFirstHosts(1),
				disrupt: loseStore,
			});
			doTest('while the first three of each data centre lose it', {
				hostCount,
				boundMs,
				getFailing: (fleet) => fleet.getFirstHosts(3),
				disrupt: loseStore,
			});
			doTest('while the first three of each data centre fall silent', {
				hostCount,
				boundMs,
				getFailing: (fleet) => fleet.getFirstHosts(3),
				disrupt: fallSilent,
			});
			doTest('while all but the last host lose it', {
				hostCount,
				boundMs,
				getFailing: (fleet) => fleet.hosts.slice(0, -1),
				disrupt: loseStore,
			});
		}

		for (const boundMs of [200, 1000, 6000]) {
			doTest('while the first two of each data centre lose it', {
				hostCount: 16,
				boundMs,
				getFailing: (fleet) => fleet.getFirstHosts(2),
				disrupt: loseStore,
			});
		}
	});
});

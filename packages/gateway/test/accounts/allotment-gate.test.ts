import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {accounts, GateFleet, makeAccount} from './gate-fleet.js';

const large = accounts[0]!;
const mixed = accounts.slice(0, 25);
const minAdmittedShare = 0.95;
/** How far a measured share may differ by the random times of requests. */
const noise = 0.02;

/** The five large accounts ask for 2.5 times their rate, the others for what is usual. */
function getFloodDemand(account: (typeof accounts)[number]): number {
	return account.ratePerSecond >= 20 ? 2.5 : 1 / 1.6;
}

function assertBound(fleet: GateFleet): void {
	const use = fleet.getMaxUse();
	assert.ok(use <= 1, `${use} of the bound used`);
}

function assertAdmitted(fleet: GateFleet, fromMs: number, toMs: number): void {
	const share = fleet.getAdmittedShare(fromMs, toMs);
	assert.ok(share >= minAdmittedShare, `${share} of what is due admitted`);
}

describe('AllotmentGate', () => {
	describe('take', () => {
		// Guards against an equal split of a limit, which refuses most of what a small account may send.
		for (const count of [16, 114, 312]) {
			it(`admits what is due, but no more, at ${count} hosts from a common start on`, async () => {
				const fleet = new GateFleet(count, accounts);
				fleet.getDemand = getFloodDemand;
				await fleet.run(10);
				assertBound(fleet);
				assertAdmitted(fleet, 5000, 10_000);
				const small = accounts.filter(({ratePerSecond}) => ratePerSecond < 20);
				assert.ok(
					fleet.getAdmittedShare(5000, 10_000, small) > 1 - noise,
					'small accounts are not refused',
				);
			});
		}

		it('follows demand that is uneven and moves between hosts', async () => {
			// Guards against shares that lag behind demand: nine tenths of it move to five other hosts each two seconds.
			const fleet = new GateFleet(114, mixed);
			fleet.getDemand = getFloodDemand;
			fleet.getHost = () => {
				const first = Math.floor(fleet.clock.monotonicMs() / 2000) * 5;
				return fleet.random() < 0.9
					? (first + Math.floor(fleet.random() * 5)) % 114
					: Math.floor(fleet.random() * 114);
			};

			await fleet.run(15);
			assertBound(fleet);
			assertAdmitted(fleet, 5000, 15_000);
		});

		it('has one owner for each account though a tenth of the hosts are unknown to each other', async () => {
			// Guards against a limit for each opinion on who the owner is.
			const fleet = new GateFleet(114, mixed);
			fleet.getDemand = getFloodDemand;
			await fleet.run(12, (a, b) => (a * 7919 + b * 104_729) % 10 !== 0);
			assertBound(fleet);
			assertAdmitted(fleet, 5000, 12_000);
			const {messageCount} = fleet;
			const unlimited = makeAccount('unlimited', 0);
			await fleet.hosts[0]!.gate!.take(unlimited, 'r');
			assert.is(fleet.messageCount, messageCount, 'no message without a limit');
		});

		it('redirects hosts that do not know the owner', async () => {
			// Guards against hosts that ask whom they take for the owner and get a part of the tolerance for good.
			const fleet = new GateFleet(114, mixed);
			fleet.carries = ({method}) => method !== 'hosts-reply';
			await fleet.run(10, (a, b) => (a * 7919 + b * 104_729) % 10 !== 0);
			assertBound(fleet);
			assertAdmitted(fleet, 5000, 10_000);
		});

		it('keeps the bound where a tenth of the links between hosts is broken', async () => {
			// Guards against a second owner because one host does not reach the first.
			const fleet = new GateFleet(114, mixed);
			fleet.getDemand = getFloodDemand;
			fleet.reaches = (a, b) =>
				(Math.min(a, b) * 7919 + Math.max(a, b) * 104_729) % 10 !== 0;
			await fleet.run(15);
			assertBound(fleet);
			assertAdmitted(fleet, 5000, 15_000);
		});
	});

	describe('after a fault', () => {
		type Fault = {
			readonly fleet: GateFleet;
			readonly owner: number;
		};

		/** @param settledMs - From when on after the fault 0.95 of what is due has to be admitted again. */
		function doTest(
			name: string,
			settledMs: number,
			act: (fault: Fault) => Promise<void>,
		): void {
			it(name, async () => {
				const fleet = new GateFleet(114, mixed);
				fleet.getDemand = getFloodDemand;
				await fleet.run(8);
				const faultAtMs = fleet.clock.monotonicMs();
				const owner = fleet.getRanked(large)[0]!;
				await act({fleet, owner});
				assertBound(fleet);
				const endMs = fleet.clock.monotonicMs();
				assertAdmitted(fleet, faultAtMs + settledMs, endMs);
			});
		}

		// Guards against an account that stays without an owner, or has two of them.
		doTest('replaces a killed owner', 8000, async ({fleet, owner}) => {
			fleet.kill(owner);
			await fleet.run(15);
		});

		// Guards against a successor and a restarted owner that grant the limit twice.
		doTest('returns the limit to a restarted owner', 14_000, async (fault) => {
			const {fleet, owner} = fault;
			fleet.kill(owner);
			await fleet.run(10);
			fleet.start(owner);
			await fleet.run(10);
		});

		// Guards against an isolated host that goes on granting its callers the whole limit.
		doTest('cuts off an isolated owner', 15_000, async ({fleet, owner}) => {
			const isFromOwner = () => fleet.random() < 0.5;
			const getOther = fleet.getHost;
			fleet.getHost = () => (isFromOwner() ? owner : getOther());
			fleet.reaches = (a, b) => a !== owner && b !== owner;
			await fleet.run(12);
			fleet.reaches = () => true;
			await fleet.run(8);
		});

		// Guards against one limit for each part of a fleet.
		doTest('divides the limit between parts', 21_000, async ({fleet}) => {
			fleet.reaches = (a, b) => a % 3 === b % 3;
			await fleet.run(15);
			fleet.reaches = () => true;
			await fleet.run(10);
		});

		// Guards against requests that were refused long ago and use up the tokens after a pause.
		for (const pauseSeconds of [3, 10]) {
			doTest(
				`replaces an owner that is frozen for ${pauseSeconds} s`,
				pauseSeconds * 1000 + 1000,
				async ({fleet, owner}) => {
					const {clock} = fleet.hosts[owner]!;
					clock.isFrozen = true;
					await fleet.run(pauseSeconds);
					clock.thaw();
					await fleet.run(6);
				},
			);
		}

		// Guards against hosts that know nobody and each take themselves for the owner.
		doTest('survives a restart of all hosts', 6500, async ({fleet}) => {
			fleet.stop();
			await fleet.run(1);
			for (const index of fleet.hosts.keys()) {
				fleet.start(index);
				await fleet.run(index % 20 === 0 ? 0.1 : 0);
			}

			await fleet.run(10);
		});
	});

	describe('setAccounts', () => {
		it('applies a lower rate one window after the plan and a higher one within a second', async () => {
			// Guards against buckets and leases that keep a former limit.
			const high = makeAccount('a', 50);
			const low = makeAccount('a', 10);
			const fleet = new GateFleet(16, [high]);
			fleet.getDemand = ({ratePerSecond}) => 100 / ratePerSecond;
			await fleet.run(8);
			fleet.publish([low]);
			const loweredAtMs = fleet.clock.monotonicMs();
			await fleet.run(10);
			assert.ok(fleet.getMaxUse(loweredAtMs, [low]) <= 1);
			fleet.publish([high]);
			await fleet.run(6);
			const raisedAtMs = loweredAtMs + 10_000;
			const admitted = fleet.arrivals
				.get(high.name)!
				.filter(({isRun, atMs}) => isRun && atMs > raisedAtMs + 1000).length;
			assert.ok(admitted >= 0.95 * 5 * 50, `${admitted} admitted in 5 s`);
		});

		it('follows a newer plan of another host', async () => {
			// Guards against an owner whose plan is late and refuses within a raised limit, or grants a lowered one.
			const fleet = new GateFleet(16, [makeAccount('a', 10)]);
			fleet.getDemand = ({ratePerSecond}) => 100 / ratePerSecond;
			await fleet.run(6);
			const owner = fleet.getRanked(fleet.accounts[0]!)[0]!;
			const ownerGate = fleet.hosts[owner]!.gate;
			fleet.hosts[owner]!.gate = undefined;
			fleet.publish([makeAccount('a', 50)]);
			fleet.hosts[owner]!.gate = ownerGate;
			fleet.getHost = () => (owner + 1) % 16;
			const raisedAtMs = fleet.clock.monotonicMs();
			await fleet.run(6);
			const admitted = fleet.arrivals
				.get(fleet.accounts[0]!.name)!
				.filter(({isRun, atMs}) => isRun && atMs > raisedAtMs + 1000).length;
			assert.ok(admitted >= 0.95 * 5 * 50, `${admitted} admitted in 5 s`);
		});
	});
});

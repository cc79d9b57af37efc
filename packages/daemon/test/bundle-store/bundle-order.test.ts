import type {BundleVersion} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {checkRank, getRank} from '../../src/bundle-store/bundle-rank.js';
import {BundleStore} from '../../src/bundle-store/bundle-store.js';
import {makeSigned, makeTrust, type SignedBundle} from './bundle-fixtures.js';

type Offer = {
	readonly host: number;
	readonly bundle: number;
	readonly losesParts: boolean;
};

type Host = {
	readonly store: BundleStore;
	readonly versions: BundleVersion[];
};

const hostCount = 3;
const trusted = [1, 2, 3, 4].flatMap((version) =>
	[4, 5].map((slots) => makeSigned({version, slots})),
);
const untrusted = makeSigned({version: 9, signers: ['ana', 'eve']});
const bundles: readonly SignedBundle[] = [...trusted, untrusted];

const offers: fc.Arbitrary<Offer[]> = fc.array(
	fc.record({
		host: fc.nat(hostCount - 1),
		bundle: fc.nat(bundles.length - 1),
		losesParts: fc.boolean(),
	}),
	{maxLength: 24},
);

function makeHost(): Host {
	const versions: BundleVersion[] = [];
	const store = new BundleStore({
		trust: makeTrust(),
		audit() {
			// The order alone is under test.
		},
		onAdopted({version}) {
			versions.push(version);
		},
	});
	return {store, versions};
}

function getHighest(): SignedBundle {
	return trusted.toSorted((a, b) => {
		const current = getRank(b.signed.manifest);
		return checkRank(getRank(a.signed.manifest), current).isOk() ? -1 : 1;
	})[0]!;
}

function isSorted(versions: readonly number[]): boolean {
	return versions.every(
		(version, index) => index === 0 || version >= versions[index - 1]!,
	);
}

/** Lets parts arrive in any order, late or never, while offers race. */
async function race(
	hosts: readonly Host[],
	plan: readonly Offer[],
	scheduler: fc.Scheduler,
): Promise<void> {
	const adoptions = plan.map(async ({host, bundle, losesParts}) => {
		const {signed, parts} = bundles[bundle]!;
		await scheduler.schedule(Promise.resolve(), 'offer');
		await hosts[host]!.store.adopt(signed, async (digest) =>
			scheduler.schedule(
				Promise.resolve(losesParts ? undefined : parts.get(digest)),
				'part',
			),
		);
	});
	await scheduler.waitFor(Promise.all(adoptions));
}

describe('BundleStore in any order of offers', () => {
	it('never goes back and ends alike on every host', async () => {
		await fc.assert(
			fc.asyncProperty(offers, fc.scheduler(), async (plan, scheduler) => {
				const hosts = Array.from({length: hostCount}, makeHost);
				await race(hosts, plan, scheduler);
				for (const {store, versions} of hosts) {
					assert.ok(isSorted(versions), `in force: ${versions.join(', ')}`);
					for (const {signed, parts} of bundles) {
						await store.adopt(signed, async (digest) => parts.get(digest));
					}

					assert.ok(isSorted(versions), `in force: ${versions.join(', ')}`);
					const expected = getHighest().signed.manifest;
					assert.equal(store.signed?.manifest, expected);
				}
			}),
			{seed: 20_261, numRuns: 60},
		);
	});
});

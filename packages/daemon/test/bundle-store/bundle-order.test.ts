import type {BundleVersion} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {checkPrecedence, getRank} from '../../src/bundle-store/bundle-rank.js';
import {BundleStore} from '../../src/bundle-store/bundle-store.js';
import {
	makeSignedBundle,
	makeTrustPolicy,
	type SignedBundle,
} from './bundle-fixtures.js';

type Offer = {
	readonly host: number;
	readonly bundle: number;
	readonly arePartsMissing: boolean;
};

type Host = {
	readonly store: BundleStore;
	readonly versions: BundleVersion[];
};

const hostCount = 3;
const trusted = [1, 2, 3, 4].flatMap((version) =>
	[4, 5].map((slots) => makeSignedBundle({version, slots})),
);
const untrusted = makeSignedBundle({version: 9, signers: ['ana', 'eve']});
const bundles: readonly SignedBundle[] = [...trusted, untrusted];

const offersArbitrary: fc.Arbitrary<Offer[]> = fc.array(
	fc.record({
		host: fc.nat(hostCount - 1),
		bundle: fc.nat(bundles.length - 1),
		arePartsMissing: fc.boolean(),
	}),
	{maxLength: 24},
);

function makeHost(): Host {
	const versions: BundleVersion[] = [];
	const store = new BundleStore({
		trust: makeTrustPolicy(),
		audit() {
			// This test covers only the order.
		},
		onAdopted({version}) {
			versions.push(version);
		},
	});
	return {store, versions};
}

function getHighestRanked(): SignedBundle {
	return trusted.toSorted((a, b) => {
		const current = getRank(b.signed.manifest);
		return checkPrecedence(getRank(a.signed.manifest), current).isOk() ? -1 : 1;
	})[0]!;
}

function isSorted(versions: readonly number[]): boolean {
	return versions.every(
		(version, index) => index === 0 || version >= versions[index - 1]!,
	);
}

/** Makes offers concurrently, while parts arrive in any order, late or never. */
async function offerConcurrently(
	hosts: readonly Host[],
	offers: readonly Offer[],
	scheduler: fc.Scheduler,
): Promise<void> {
	const adoptions = offers.map(async ({host, bundle, arePartsMissing}) => {
		const {signed, parts} = bundles[bundle]!;
		await scheduler.schedule(Promise.resolve(), 'offer');
		await hosts[host]!.store.adopt(signed, async (digest) =>
			scheduler.schedule(
				Promise.resolve(arePartsMissing ? undefined : parts.get(digest)),
				'part',
			),
		);
	});
	await scheduler.waitFor(Promise.all(adoptions));
}

describe('BundleStore with offers in any order', () => {
	it('never goes back to a lower version and converges on every host', async () => {
		await fc.assert(
			fc.asyncProperty(
				offersArbitrary,
				fc.scheduler(),
				async (offers, scheduler) => {
					const hosts = Array.from({length: hostCount}, makeHost);
					await offerConcurrently(hosts, offers, scheduler);
					for (const {store, versions} of hosts) {
						assert.ok(isSorted(versions), `activated: ${versions.join(', ')}`);
						for (const {signed, parts} of bundles) {
							await store.adopt(signed, async (digest) => parts.get(digest));
						}

						assert.ok(isSorted(versions), `activated: ${versions.join(', ')}`);
						const expected = getHighestRanked().signed.manifest;
						assert.equal(store.signed?.manifest, expected);
					}
				},
			),
			{seed: 20_261, numRuns: 60},
		);
	});
});

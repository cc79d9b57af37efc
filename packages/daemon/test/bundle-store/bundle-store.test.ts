import type {TrustPolicy} from '@bilberryscale/bundle';
import type {AuditEvent, AuditKind, Digest} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {getRank} from '../../src/bundle-store/bundle-rank.js';
import type {RefusalKind} from '../../src/bundle-store/bundle-refusal.js';
import {
	BundleStore,
	type AdoptionResult,
} from '../../src/bundle-store/bundle-store.js';
import {
	makeSignedBundle,
	makeTrustPolicy,
	type SignedBundle,
} from './bundle-fixtures.js';

type Fixture = {
	readonly store: BundleStore;
	readonly fetched: Digest[];
	readonly offer: (bundle: SignedBundle) => Promise<AdoptionResult>;
	readonly getAudit: (kind: AuditKind) => readonly AuditEvent[];
};

function makeFixture(trust: TrustPolicy = makeTrustPolicy()): Fixture {
	const events: AuditEvent[] = [];
	const fetched: Digest[] = [];
	const store = new BundleStore({
		trust,
		audit(event) {
			events.push(event);
		},
		onAdopted() {
			// These tests cover only the store.
		},
	});
	return {
		store,
		fetched,
		offer: async ({signed, parts}) =>
			store.adopt(signed, async (digest) => {
				fetched.push(digest);
				return parts.get(digest);
			}),
		getAudit: (kind) => events.filter((event) => event.kind === kind),
	};
}

describe('BundleStore', () => {
	describe('adopt', () => {
		const doTest = async (
			offered: SignedBundle,
			expected: RefusalKind | 'adopted',
			before: readonly SignedBundle[] = [makeSignedBundle({version: 3})],
		) => {
			const {store, offer, getAudit} = makeFixture();
			for (const bundle of before) {
				await offer(bundle);
			}

			const previous = store.signed;
			const refusalsBefore = getAudit('bundle-refused').length;
			const outcome = await offer(offered);
			assert.is(outcome.isOk() ? 'adopted' : outcome.error.kind, expected);
			assert.is(store.signed === previous, expected !== 'adopted');
			assert.is(
				getAudit('bundle-refused').length - refusalsBefore,
				expected === 'adopted' ? 0 : 1,
			);
		};

		it('adopts the first and every higher version', async () => {
			await doTest(makeSignedBundle({version: 3}), 'adopted', []);
			await doTest(makeSignedBundle({version: 4}), 'adopted');
			await doTest(makeSignedBundle({version: 900}), 'adopted');
		});

		it('refuses a lower version, whoever signed it', async () => {
			await doTest(
				makeSignedBundle({version: 2, signers: ['ana', 'bat', 'cid']}),
				'older',
			);
		});

		it('refuses a bundle with too few or unknown signers', async () => {
			await doTest(makeSignedBundle({version: 4, signers: []}), 'unsigned');
			await doTest(
				makeSignedBundle({version: 4, signers: ['ana']}),
				'unsigned',
			);
			await doTest(
				makeSignedBundle({version: 4, signers: ['ana', 'eve']}),
				'unsigned',
			);
		});

		it('refuses signatures of another content', async () => {
			const {signed, parts} = makeSignedBundle({version: 4});
			const {signatures} = makeSignedBundle({version: 5}).signed;
			await doTest({signed: {...signed, signatures}, parts}, 'unsigned');
		});

		it('refuses a bundle whose part is missing, changed or too large', async () => {
			const {signed, parts} = makeSignedBundle({version: 4, slots: 9});
			await doTest({signed, parts: new Map()}, 'part-missing');
			const changed = new Map([...parts.keys()].map((key) => [key, '{}']));
			await doTest({signed, parts: changed}, 'part-missing');
			const large = 'x'.repeat(1_000_001);
			const oversized = new Map([...parts.keys()].map((key) => [key, large]));
			await doTest({signed, parts: oversized}, 'part-missing');
		});
	});

	describe('adoptText', () => {
		const doTest = async (text: string, expected: RefusalKind) => {
			const {store, getAudit} = makeFixture();
			const outcome = await store.adoptText(text, 'm', async () => undefined);
			assert.is(outcome.unwrapErr().kind, expected);
			assert.is(getAudit('bundle-refused').length, 1);
			assert.is(store.bundle, undefined);
		};

		it('refuses a manifest that is malformed or too large', async () => {
			const {signed} = makeSignedBundle({version: 4});
			await doTest('{', 'malformed');
			await doTest('null', 'malformed');
			await doTest(JSON.stringify({...signed, extra: 1}), 'malformed');
			await doTest(' '.repeat(1_000_001), 'malformed');
			const signatures = Array.from({length: 33}, () => signed.signatures[0]);
			await doTest(JSON.stringify({...signed, signatures}), 'malformed');
		});
	});

	describe('parts', () => {
		it('fetches only changed parts', async () => {
			const {offer, fetched} = makeFixture();
			await offer(makeSignedBundle({version: 1}));
			assert.is(fetched.length, 2);
			await offer(makeSignedBundle({version: 2, slots: 8}));
			assert.is(fetched.length, 3);
		});

		it('keeps fetched parts when another part fails', async () => {
			const {offer, fetched, store} = makeFixture();
			const {signed, parts} = makeSignedBundle({version: 1});
			const [first] = parts;
			await offer({signed, parts: new Map([first!])});
			const outcome = await offer({signed, parts});
			assert.ok(outcome.isOk());
			assert.is(fetched.length, 3);
			assert.is(store.getPart(first![0]), first![1]);
		});

		it('removes parts that only earlier bundles refer to', async () => {
			const {offer, store} = makeFixture();
			const previous = makeSignedBundle({version: 1, slots: 5});
			await offer(previous);
			await offer(makeSignedBundle({version: 2, slots: 6}));
			const kept = [...previous.parts.keys()].filter(
				(digest) => store.getPart(digest) !== undefined,
			);
			assert.is(kept.length, 1);
		});
	});

	describe('two contents under one version', () => {
		const contents = [4, 5, 6]
			.map((slots) => makeSignedBundle({version: 7, slots}))
			.toSorted((a, b) =>
				getRank(a.signed.manifest).digest < getRank(b.signed.manifest).digest
					? -1
					: 1,
			);

		const doTest = async (order: readonly number[]) => {
			const {store, offer, getAudit} = makeFixture();
			for (const index of order) {
				await offer(contents[index]!);
			}

			assert.is(store.signed, contents[0]!.signed);
			assert.ok(getAudit('bundle-conflict').length > 0);
		};

		it('activates the lower digest in every order', async () => {
			await doTest([0, 1, 2]);
			await doTest([2, 1, 0]);
			await doTest([1, 2, 0, 1]);
		});

		it('records no conflict for an unsigned content', async () => {
			const {store, offer, getAudit} = makeFixture();
			await offer(contents[1]!);
			await offer(makeSignedBundle({version: 7, slots: 9, signers: ['eve']}));
			assert.is(store.signed, contents[1]!.signed);
			assert.is(getAudit('bundle-conflict').length, 0);
		});
	});

	describe('setTrust', () => {
		it('keeps the active bundle and refuses signatures of a removed key', async () => {
			const {store, offer, getAudit} = makeFixture();
			await offer(makeSignedBundle({version: 1}));
			store.setTrust(makeTrustPolicy(['cid', 'eve']));
			assert.is(store.bundle?.version, 1);
			const outcome = await offer(makeSignedBundle({version: 2}));
			assert.is(outcome.unwrapErr().kind, 'unsigned');
			assert.is(getAudit('key-loaded').length, 2);
		});

		it('merges signatures of new keys, so that a host that trusts only these can adopt the bundle', async () => {
			const {store, offer} = makeFixture();
			const signers = ['cid', 'eve'];
			await offer(makeSignedBundle({version: 1}));
			store.setTrust(makeTrustPolicy(['ana', 'bat', 'cid', 'eve']));
			await offer(makeSignedBundle({version: 1, signers}));
			const replaced = makeFixture(makeTrustPolicy(signers));
			const {parts} = makeSignedBundle({version: 1});
			const outcome = await replaced.offer({signed: store.signed!, parts});
			assert.ok(outcome.isOk());
		});
	});
});

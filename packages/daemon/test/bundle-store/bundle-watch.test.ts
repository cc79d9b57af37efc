import {
	getPartValueName,
	ManualClock,
	manifestValueName,
	type AuditSink,
} from '@bilberryscale/core';
import type {PublishedValue, ReadOutcome} from '@bilberryscale/platform';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok, type Result} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {BundleStore} from '../../src/bundle-store/bundle-store.js';
import {BundleWatch} from '../../src/bundle-store/bundle-watch.js';
import type {Log} from '../../src/logging/make-logger.js';
import {makeSigned, makeTrust, type SignedBundle} from './bundle-fixtures.js';

/** A platform in memory that answers a watch at once. */
class Platform {
	isDown = false;
	reads: string[] = [];
	readonly #values = new Map<string, PublishedValue>();

	publish({signed, parts}: SignedBundle, revision: number): void {
		this.publishParts(parts, revision);
		const value = JSON.stringify(signed);
		this.#values.set(manifestValueName, {revision, value});
	}

	publishParts(parts: SignedBundle['parts'], revision: number): void {
		for (const [digest, value] of parts) {
			this.#values.set(getPartValueName(digest), {revision, value});
		}
	}

	async readValue(
		name: string,
		after = 0,
	): Promise<Result<ReadOutcome<PublishedValue>, string>> {
		this.reads.push(name);
		if (this.isDown) {
			return Err('down');
		}

		const value = this.#values.get(name);
		return Ok(
			value !== undefined && value.revision > after ? value : undefined,
		);
	}
}

function makeFixture() {
	const clock = new ManualClock();
	const platform = new Platform();
	const ignore: AuditSink = () => undefined;
	const store = new BundleStore({
		trust: makeTrust(),
		audit: ignore,
		onAdopted: () => undefined,
	});
	const log = {warn: () => undefined} as unknown as Log;
	const watch = new BundleWatch({platform, store, clock, log});
	const step = async (count = 20) => {
		for (let index = 0; index < count; index++) {
			clock.advance(100);
			await new Promise(setImmediate);
		}
	};

	return {clock, platform, store, watch, step};
}

describe('BundleWatch', () => {
	it('takes what is published, also after an outage', async () => {
		const {platform, store, watch, step} = makeFixture();
		platform.isDown = true;
		watch.start();
		await step();
		assert.is(store.bundle, undefined);
		platform.isDown = false;
		platform.publish(makeSigned({version: 1}), 1);
		await step();
		assert.is(store.bundle?.version, 1);
		watch.stop();
	});

	it('fetches a part that was missing again, without a new revision', async () => {
		const {platform, store, watch, step} = makeFixture();
		const {signed, parts} = makeSigned({version: 1});
		platform.publish({signed, parts: new Map()}, 1);
		watch.start();
		await step();
		assert.is(store.bundle, undefined);
		platform.publishParts(parts, 2);
		await step();
		assert.is(store.bundle?.version, 1);
		watch.stop();
	});

	it('reads a refused manifest again after a change of the keys', async () => {
		const {platform, store, watch, step} = makeFixture();
		platform.publish(makeSigned({version: 1, signers: ['cid', 'eve']}), 1);
		watch.start();
		await step();
		assert.is(store.bundle, undefined);
		store.setTrust(makeTrust(['cid', 'eve']));
		watch.refresh();
		await step();
		assert.is(store.bundle?.version, 1);
		watch.stop();
	});

	it('keeps to the bundle in force while the platform is stale', async () => {
		const {platform, store, watch, step} = makeFixture();
		platform.publish(makeSigned({version: 5}), 50);
		watch.start();
		await step();
		platform.publish(makeSigned({version: 4}), 51);
		await step();
		assert.is(store.bundle?.version, 5);
		watch.stop();
	});

	it('spares a platform that answers a watch at once', async () => {
		const {platform, watch, step} = makeFixture();
		platform.publish(makeSigned({version: 1}), 1);
		watch.start();
		await step(100);
		const reads = platform.reads.filter((name) => name === manifestValueName);
		// 10 s at two reads a second, and those that found something new.
		assert.ok(reads.length <= 23, `${reads.length} reads`);
		assert.ok(reads.length >= 15, `${reads.length} reads`);
		watch.stop();
	});

	it('finds a newer one on a platform that counts revisions anew', async () => {
		const {clock, platform, store, watch, step} = makeFixture();
		platform.publish(makeSigned({version: 1}), 50);
		watch.start();
		await step();
		platform.publish(makeSigned({version: 2}), 3);
		clock.pause(300_000);
		await step();
		assert.is(store.bundle?.version, 2);
		watch.stop();
	});
});

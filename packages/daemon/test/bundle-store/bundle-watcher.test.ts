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
import {BundleWatcher} from '../../src/bundle-store/bundle-watcher.js';
import type {Log} from '../../src/logging/make-logger.js';
import {
	makeSignedBundle,
	makeTrustPolicy,
	type SignedBundle,
} from './bundle-fixtures.js';

/** An in-memory platform that answers long polls at once. */
class InMemoryPlatform {
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
	const platform = new InMemoryPlatform();
	const ignore: AuditSink = () => undefined;
	const store = new BundleStore({
		trust: makeTrustPolicy(),
		audit: ignore,
		onAdopted: () => undefined,
	});
	const log = {warn: () => undefined} as unknown as Log;
	const watcher = new BundleWatcher({platform, store, clock, log});
	const step = async (count = 20) => {
		for (let index = 0; index < count; index++) {
			clock.advance(100);
			await new Promise(setImmediate);
		}
	};

	return {clock, platform, store, watcher, step};
}

describe('BundleWatcher', () => {
	it('adopts a published bundle, also after an outage', async () => {
		const {platform, store, watcher, step} = makeFixture();
		platform.isDown = true;
		watcher.start();
		await step();
		assert.is(store.bundle, undefined);
		platform.isDown = false;
		platform.publish(makeSignedBundle({version: 1}), 1);
		await step();
		assert.is(store.bundle?.version, 1);
		watcher.stop();
	});

	it('fetches a missing part again without a new revision', async () => {
		const {platform, store, watcher, step} = makeFixture();
		const {signed, parts} = makeSignedBundle({version: 1});
		platform.publish({signed, parts: new Map()}, 1);
		watcher.start();
		await step();
		assert.is(store.bundle, undefined);
		platform.publishParts(parts, 2);
		await step();
		assert.is(store.bundle?.version, 1);
		watcher.stop();
	});

	it('reads a refused manifest again after the trusted keys changed', async () => {
		const {platform, store, watcher, step} = makeFixture();
		platform.publish(
			makeSignedBundle({version: 1, signers: ['cid', 'eve']}),
			1,
		);
		watcher.start();
		await step();
		assert.is(store.bundle, undefined);
		store.setTrust(makeTrustPolicy(['cid', 'eve']));
		watcher.forceFullRead();
		await step();
		assert.is(store.bundle?.version, 1);
		watcher.stop();
	});

	it('keeps the active bundle when the platform publishes an older one', async () => {
		const {platform, store, watcher, step} = makeFixture();
		platform.publish(makeSignedBundle({version: 5}), 50);
		watcher.start();
		await step();
		platform.publish(makeSignedBundle({version: 4}), 51);
		await step();
		assert.is(store.bundle?.version, 5);
		watcher.stop();
	});

	it('limits its read rate when the platform answers long polls at once', async () => {
		const {platform, watcher, step} = makeFixture();
		platform.publish(makeSignedBundle({version: 1}), 1);
		watcher.start();
		await step(100);
		const reads = platform.reads.filter((name) => name === manifestValueName);
		// 10 s at two reads per second, plus the reads that found a new revision.
		assert.ok(reads.length <= 23, `${reads.length} reads`);
		assert.ok(reads.length >= 15, `${reads.length} reads`);
		watcher.stop();
	});

	it('finds a newer bundle after the platform restarts its revisions', async () => {
		const {clock, platform, store, watcher, step} = makeFixture();
		platform.publish(makeSignedBundle({version: 1}), 50);
		watcher.start();
		await step();
		platform.publish(makeSignedBundle({version: 2}), 3);
		clock.pause(300_000);
		await step();
		assert.is(store.bundle?.version, 2);
		watcher.stop();
	});
});

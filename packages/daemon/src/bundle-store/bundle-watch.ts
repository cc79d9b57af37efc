/** Watches the platform for newer bundles. */

import {
	getPartValueName,
	manifestValueName,
	type Cancellation,
	type Clock,
	type Digest,
} from '@bilberryscale/core';
import type {PlatformClient} from '@bilberryscale/platform';
import type {Log} from '../logging/make-logger.js';
import type {BundleStore} from './bundle-store.js';
import {makePacer, type Pacer} from './pacer.js';

/** What a watch works with. */
export type BundleWatchOptions = {
	readonly platform: Pick<PlatformClient, 'readValue'>;
	readonly store: BundleStore;
	readonly clock: Clock;
	readonly log: Log;
};

// Twice this and the client's own timeout stay within the 6 s of a change.
const waitMs = 2000;
const leastSpacingMs = 500;
const retryMs = 500;
const partSpacingMs = 8;
const fullReadEveryMs = 300_000;

/** A loop that reads the manifest and waits for the next one. */
export class BundleWatch {
	readonly #options: BundleWatchOptions;
	readonly #pace: Pacer;
	#revision = 0;
	#lastFullReadMs = 0;
	/** A manifest whose parts could not all be had yet. */
	#pending: string | undefined;
	#isStopped = false;
	#cancelPause: Cancellation | undefined;

	/**
	 * @param options - Where to read and what to feed.
	 */
	constructor(options: BundleWatchOptions) {
		this.#options = options;
		this.#pace = makePacer(options.clock, partSpacingMs);
	}

	/** Starts the loop. */
	start(): void {
		void this.#readOnce();
	}

	/** Ends the loop; an answer that still comes is dropped. */
	stop(): void {
		this.#isStopped = true;
		this.#cancelPause?.();
	}

	/** Makes the next read a full one, as after a change of the trusted keys. */
	refresh(): void {
		this.#revision = 0;
	}

	async #readOnce(): Promise<void> {
		const after = this.#getKnownRevision();
		const wait = this.#getWaitMs(after);
		const {platform, log, clock} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const outcome = await platform.readValue(manifestValueName, after, wait);
		if (this.#isStopped) {
			return;
		}

		const published = outcome.unwrapOr(undefined);
		const isNew = published !== undefined && published.revision > after;
		if (outcome.isErr()) {
			log.warn('platform read failed', {cause: outcome.error});
		} else if (isNew) {
			this.#revision = published.revision;
			this.#pending = published.value;
		}

		await this.#takePending();
		// Spares a platform that answers a watch at once.
		const tookMs = clock.monotonicMs() - startedAtMs;
		this.#readAgainAfter(isNew ? 0 : Math.max(0, leastSpacingMs - tookMs));
	}

	/** Gets 0 now and then: a platform that was replaced may count anew. */
	#getKnownRevision(): number {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#revision > 0 && nowMs - this.#lastFullReadMs < fullReadEveryMs) {
			return this.#revision;
		}

		this.#lastFullReadMs = nowMs;
		return 0;
	}

	#getWaitMs(after: number): number {
		if (after === 0) {
			return 0;
		}

		return this.#pending === undefined ? waitMs : retryMs;
	}

	#readAgainAfter(delayMs: number): void {
		if (this.#isStopped) {
			return;
		}

		this.#cancelPause = this.#options.clock.schedule(delayMs, () => {
			void this.#readOnce();
		});
	}

	async #takePending(): Promise<void> {
		if (this.#pending === undefined) {
			return;
		}

		const adopted = await this.#options.store.adoptText(
			this.#pending,
			manifestValueName,
			async (digest) => this.#fetchPart(digest),
		);
		if (adopted.isOk()) {
			this.#pending = undefined;
			return;
		}

		if (adopted.error.kind !== 'in-force') {
			this.#options.log.warn('bundle refused', adopted.error);
		}

		if (adopted.error.kind !== 'part-missing') {
			this.#pending = undefined;
		}
	}

	async #fetchPart(digest: Digest): Promise<string | undefined> {
		await this.#pace();
		const outcome = await this.#options.platform.readValue(
			getPartValueName(digest),
		);
		return outcome.isOk() ? outcome.value?.value : undefined;
	}
}

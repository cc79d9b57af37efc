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

/** The dependencies of a `BundleWatcher`. */
export type BundleWatcherOptions = {
	readonly platform: Pick<PlatformClient, 'readValue'>;
	readonly store: BundleStore;
	readonly clock: Clock;
	readonly log: Log;
};

// Two long polls plus the platform client's timeout must fit into the 6 s allowed for a bundle change.
const longPollMs = 2000;
const minReadIntervalMs = 500;
const partRetryMs = 500;
const partFetchIntervalMs = 8;
const fullReadIntervalMs = 300_000;

/** Reads the manifest in a loop, with a long poll for the next revision. */
export class BundleWatcher {
	readonly #options: BundleWatcherOptions;
	readonly #pacePartFetch: Pacer;
	#revision = 0;
	#lastFullReadMs = 0;
	/** The manifest that is not adopted yet, for example because a part is missing. */
	#pendingManifest: string | undefined;
	#isStopped = false;
	#cancelNextRead: Cancellation | undefined;

	/**
	 * @param options - The platform client to read from and the store to update.
	 */
	constructor(options: BundleWatcherOptions) {
		this.#options = options;
		this.#pacePartFetch = makePacer(options.clock, partFetchIntervalMs);
	}

	/** Starts the loop. */
	start(): void {
		void this.#readManifest();
	}

	/** Stops the loop; the answer to a read in progress is ignored. */
	stop(): void {
		this.#isStopped = true;
		this.#cancelNextRead?.();
	}

	/** Makes the next read a full read, for example after the trusted keys changed. */
	forceFullRead(): void {
		this.#revision = 0;
	}

	async #readManifest(): Promise<void> {
		const afterRevision = this.#getAfterRevision();
		const waitMs = this.#getWaitMs(afterRevision);
		const {platform, log, clock} = this.#options;
		const startedAtMs = clock.monotonicMs();
		const outcome = await platform.readValue(
			manifestValueName,
			afterRevision,
			waitMs,
		);
		if (this.#isStopped) {
			return;
		}

		const published = outcome.unwrapOr(undefined);
		const isNew = published !== undefined && published.revision > afterRevision;
		if (outcome.isErr()) {
			log.warn('platform read failed', {cause: outcome.error});
		} else if (isNew) {
			this.#revision = published.revision;
			this.#pendingManifest = published.value;
		}

		await this.#adoptPendingManifest();
		// Limits the read rate if the platform answers long polls at once.
		const tookMs = clock.monotonicMs() - startedAtMs;
		this.#scheduleRead(isNew ? 0 : Math.max(0, minReadIntervalMs - tookMs));
	}

	/** Gets the last revision, or 0 for a periodic full read: a replaced platform may restart its revisions. */
	#getAfterRevision(): number {
		const nowMs = this.#options.clock.monotonicMs();
		if (
			this.#revision > 0 &&
			nowMs - this.#lastFullReadMs < fullReadIntervalMs
		) {
			return this.#revision;
		}

		this.#lastFullReadMs = nowMs;
		return 0;
	}

	#getWaitMs(afterRevision: number): number {
		if (afterRevision === 0) {
			return 0;
		}

		return this.#pendingManifest === undefined ? longPollMs : partRetryMs;
	}

	#scheduleRead(delayMs: number): void {
		if (this.#isStopped) {
			return;
		}

		this.#cancelNextRead = this.#options.clock.schedule(delayMs, () => {
			void this.#readManifest();
		});
	}

	async #adoptPendingManifest(): Promise<void> {
		if (this.#pendingManifest === undefined) {
			return;
		}

		const adopted = await this.#options.store.adoptText(
			this.#pendingManifest,
			manifestValueName,
			async (digest) => this.#fetchPart(digest),
		);
		if (adopted.isOk()) {
			this.#pendingManifest = undefined;
			return;
		}

		if (adopted.error.kind !== 'in-force') {
			this.#options.log.warn('bundle refused', adopted.error);
		}

		if (adopted.error.kind !== 'part-missing') {
			this.#pendingManifest = undefined;
		}
	}

	async #fetchPart(digest: Digest): Promise<string | undefined> {
		await this.#pacePartFetch();
		const outcome = await this.#options.platform.readValue(
			getPartValueName(digest),
		);
		return outcome.isOk() ? outcome.value?.value : undefined;
	}
}

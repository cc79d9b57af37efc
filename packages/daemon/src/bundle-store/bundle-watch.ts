/** Watches the platform for newer bundles. */

import {parseSignedManifest} from '@bilberryscale/bundle';
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

/** What a watch works with. */
export type BundleWatchOptions = {
	readonly platform: PlatformClient;
	readonly store: BundleStore;
	readonly clock: Clock;
	readonly log: Log;
};

const waitMs = 20_000;
const pauseAfterFailureMs = 500;

/** A loop that reads the manifest and waits for the next one. */
export class BundleWatch {
	readonly #options: BundleWatchOptions;
	#revision = 0;
	#isStopped = false;
	#cancelPause: Cancellation | undefined;

	/**
	 * @param options - Where to read and what to feed.
	 */
	constructor(options: BundleWatchOptions) {
		this.#options = options;
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

	async #readOnce(): Promise<void> {
		const waits = this.#revision > 0;
		const outcome = await this.#options.platform.readValue(
			manifestValueName,
			this.#revision,
			waits ? waitMs : 0,
		);
		if (this.#isStopped) {
			return;
		}

		if (outcome.isErr()) {
			this.#options.log.warn('platform read failed', {cause: outcome.error});
			this.#readAgainAfter(pauseAfterFailureMs);
			return;
		}

		const published = outcome.value;
		if (published === undefined) {
			this.#readAgainAfter(waits ? 0 : pauseAfterFailureMs);
			return;
		}

		this.#revision = published.revision;
		await this.#take(published.value);
		this.#readAgainAfter(0);
	}

	#readAgainAfter(delayMs: number): void {
		this.#cancelPause = this.#options.clock.schedule(delayMs, () => {
			void this.#readOnce();
		});
	}

	async #take(text: string): Promise<void> {
		const parsed = parseSignedManifest(text, manifestValueName);
		if (parsed.isErr()) {
			this.#options.log.error('manifest is malformed', {
				faults: parsed.error,
			});
			return;
		}

		const adopted = await this.#options.store.adopt(
			parsed.value,
			async (digest) => this.#fetchPart(digest),
		);
		if (adopted.isErr()) {
			this.#options.log.warn('bundle refused', {cause: adopted.error});
		}
	}

	async #fetchPart(digest: Digest): Promise<string | undefined> {
		const outcome = await this.#options.platform.readValue(
			getPartValueName(digest),
		);
		return outcome.isOk() ? outcome.value?.value : undefined;
	}
}

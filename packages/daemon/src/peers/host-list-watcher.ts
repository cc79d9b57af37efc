/** Watches the platform's host list; the last list stays in use while the platform is down. */

import {
	makeId,
	type Cancellation,
	type Clock,
	type HostId,
} from '@bilberryscale/core';
import type {PublishedHost} from '@bilberryscale/peers';
import type {PlatformClient} from '@bilberryscale/platform';

/** The dependencies of a `HostListWatcher`. */
export type HostListWatcherOptions = {
	readonly platform: PlatformClient;
	readonly clock: Clock;
	readonly onHosts: (hosts: readonly PublishedHost[]) => void;
};

const longPollMs = 10_000;
const retryDelayMs = 1000;

/** Reads the list in a loop, with a long poll for the next revision. */
export class HostListWatcher {
	readonly #options: HostListWatcherOptions;
	#revision = 0;
	#isStopped = false;
	#cancelNextRead: Cancellation | undefined;

	/**
	 * @param options - The platform client, the clock and the callback for new lists.
	 */
	constructor(options: HostListWatcherOptions) {
		this.#options = options;
	}

	/** Starts the loop. */
	start(): void {
		void this.#readHostList();
	}

	/** Stops the loop. */
	stop(): void {
		this.#isStopped = true;
		this.#cancelNextRead?.();
	}

	async #readHostList(): Promise<void> {
		const {platform, clock, onHosts} = this.#options;
		const waitMs = this.#revision > 0 ? longPollMs : 0;
		const outcome = await platform.readHosts(this.#revision, waitMs);
		if (this.#isStopped) {
			return;
		}

		const list = outcome.isOk() ? outcome.value : undefined;
		if (list !== undefined) {
			this.#revision = list.revision;
			onHosts(
				list.hosts.map(({id, address, peerPort, state}) => ({
					host: makeId<HostId>(id),
					address,
					port: peerPort,
					isLeaving: state === 'leaving',
				})),
			);
		}

		const needsDelay = outcome.isErr() || (list === undefined && waitMs === 0);
		this.#cancelNextRead = clock.schedule(needsDelay ? retryDelayMs : 0, () => {
			void this.#readHostList();
		});
	}
}

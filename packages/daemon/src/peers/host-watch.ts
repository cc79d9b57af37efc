/** Watches the platform's host list; keeps the last one while it is down. */

import {
	makeId,
	type Cancellation,
	type Clock,
	type HostId,
} from '@bilberryscale/core';
import type {PublishedHost} from '@bilberryscale/peers';
import type {PlatformClient} from '@bilberryscale/platform';

/** What a watch works with. */
export type HostWatchOptions = {
	readonly platform: PlatformClient;
	readonly clock: Clock;
	readonly onHosts: (hosts: readonly PublishedHost[]) => void;
};

const waitMs = 10_000;
const pauseAfterFailureMs = 1000;

/** A loop that reads the list and waits for the next one. */
export class HostWatch {
	readonly #options: HostWatchOptions;
	#revision = 0;
	#isStopped = false;
	#cancelPause: Cancellation | undefined;

	/**
	 * @param options - Where to read and whom to tell.
	 */
	constructor(options: HostWatchOptions) {
		this.#options = options;
	}

	/** Starts the loop. */
	start(): void {
		void this.#readOnce();
	}

	/** Ends the loop. */
	stop(): void {
		this.#isStopped = true;
		this.#cancelPause?.();
	}

	async #readOnce(): Promise<void> {
		const {platform, clock, onHosts} = this.#options;
		const wait = this.#revision > 0 ? waitMs : 0;
		const outcome = await platform.readHosts(this.#revision, wait);
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

		const isQuiet = outcome.isErr() || (list === undefined && wait === 0);
		this.#cancelPause = clock.schedule(
			isQuiet ? pauseAfterFailureMs : 0,
			() => {
				void this.#readOnce();
			},
		);
	}
}

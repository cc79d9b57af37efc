/** Wakes requests that wait for a target of their service. */

import type {Clock, ServiceName} from '@bilberryscale/core';

/** Requests that wait, the longest first. */
export class WakeUps {
	readonly #clock: Clock;
	readonly #waiting = new Map<ServiceName, Set<(isWoken: boolean) => void>>();

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Waits until a target of a service has told its load.
	 *
	 * @param service - The service.
	 * @param timeoutMs - The longest wait, in milliseconds.
	 * @returns Whether a target has told its load.
	 */
	async wait(service: ServiceName, timeoutMs: number): Promise<boolean> {
		const waiting = this.#waiting.get(service) ?? new Set();
		this.#waiting.set(service, waiting);
		return new Promise((resolve) => {
			const end = (isWoken: boolean) => {
				cancel();
				waiting.delete(end);
				resolve(isWoken);
			};

			const cancel = this.#clock.schedule(timeoutMs, () => {
				end(false);
			});
			waiting.add(end);
		});
	}

	/**
	 * Wakes the request that has waited longest.
	 *
	 * @param service - The service.
	 */
	wake(service: ServiceName): void {
		const [first] = this.#waiting.get(service) ?? [];
		first?.(true);
	}
}

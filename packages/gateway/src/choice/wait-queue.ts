/** Queues requests that wait for a load report from a target of their service. */

import type {Clock, ServiceName} from '@bilberryscale/core';

/** Waiting requests by service, woken in the order in which they started to wait. */
export class WaitQueue {
	readonly #clock: Clock;
	readonly #waiting = new Map<ServiceName, Set<(wasWoken: boolean) => void>>();

	/**
	 * @param clock - The clock.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Waits until the request is woken or the timeout has passed.
	 *
	 * @param service - The service.
	 * @param timeoutMs - The maximum wait, in milliseconds.
	 * @returns Whether the request was woken, not timed out.
	 */
	async wait(service: ServiceName, timeoutMs: number): Promise<boolean> {
		const waiting = this.#waiting.get(service) ?? new Set();
		this.#waiting.set(service, waiting);
		return new Promise((resolve) => {
			const end = (wasWoken: boolean) => {
				cancel();
				waiting.delete(end);
				resolve(wasWoken);
			};

			const cancel = this.#clock.schedule(timeoutMs, () => {
				end(false);
			});
			waiting.add(end);
		});
	}

	/**
	 * Wakes the first request in the queue of a service, if any.
	 *
	 * @param service - The service.
	 */
	wakeFirst(service: ServiceName): void {
		const [first] = this.#waiting.get(service) ?? [];
		first?.(true);
	}
}

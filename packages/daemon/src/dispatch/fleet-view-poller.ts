/** Reports changes of the fleet size and of the rank of this host. */

import type {Cancellation, Clock} from '@bilberryscale/core';
import type {FleetView} from '@bilberryscale/decisions';

/** The dependencies of a poller. */
export type FleetViewPollerOptions = {
	readonly clock: Clock;
	/** Gets the current view; undefined while this host is not a member. */
	readonly getView: () => FleetView | undefined;
	/** Called with each view that differs from the previous one. */
	readonly onChange: (view: FleetView) => void;
};

const pollIntervalMs = 500;

/** Polls the fleet view at a fixed interval and reports changes. */
export class FleetViewPoller {
	readonly #options: FleetViewPollerOptions;
	#lastView: FleetView | undefined;
	#cancel: Cancellation | undefined;

	/**
	 * @param options - The source of the view, the callback and the clock.
	 */
	constructor(options: FleetViewPollerOptions) {
		this.#options = options;
	}

	/** Polls at once and schedules the next poll. */
	start(): void {
		this.#poll();
		this.#cancel = this.#options.clock.schedule(pollIntervalMs, () => {
			this.start();
		});
	}

	/** Stops polling. */
	stop(): void {
		this.#cancel?.();
	}

	#poll(): void {
		const view = this.#options.getView();
		const isChanged =
			view !== undefined &&
			(view.size !== this.#lastView?.size || view.rank !== this.#lastView.rank);
		if (isChanged) {
			this.#lastView = view;
			this.#options.onChange(view);
		}
	}
}

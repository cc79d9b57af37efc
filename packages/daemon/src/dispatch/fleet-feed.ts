/** Keeps the decisions told of how many hosts there are. */

import type {Cancellation, Clock} from '@bilberryscale/core';
import type {FleetView} from '@bilberryscale/decisions';

/** What a feed works with. */
export type FleetFeedOptions = {
	readonly clock: Clock;
	/** Gets the present view; undefined while this host is no member. */
	readonly getView: () => FleetView | undefined;
	/** Takes a view that differs from the former one. */
	readonly onChange: (view: FleetView) => void;
};

const pollMs = 500;

/** Looks at the view of the fleet now and then and passes changes on. */
export class FleetFeed {
	readonly #options: FleetFeedOptions;
	#former: FleetView | undefined;
	#cancel: Cancellation | undefined;

	/**
	 * @param options - Where the view comes from and goes to.
	 */
	constructor(options: FleetFeedOptions) {
		this.#options = options;
	}

	/** Looks now and goes on looking. */
	start(): void {
		this.#look();
		this.#cancel = this.#options.clock.schedule(pollMs, () => {
			this.start();
		});
	}

	/** Stops looking. */
	stop(): void {
		this.#cancel?.();
	}

	#look(): void {
		const view = this.#options.getView();
		const isChanged =
			view !== undefined &&
			(view.size !== this.#former?.size || view.rank !== this.#former.rank);
		if (isChanged) {
			this.#former = view;
			this.#options.onChange(view);
		}
	}
}

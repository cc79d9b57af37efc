/** The virtual time of start-time fair queueing. */

/** Number of flows beyond which those without a claim are forgotten. */
const maxIdleFlows = 1000;

/**
 * The start tags of flows that share a resource (start-time fair queueing:
 * Goyal, Vin and Cheng, SIGCOMM 1996). The waiting flow with the lowest tag is
 * served next.
 */
export class StartTags<Flow> {
	readonly #tags = new Map<Flow, number>();
	#virtualTime = 0;

	/**
	 * Records that a flow starts to wait. Its tag rises to the virtual time, so
	 * that it gains nothing by the turns that it did not use.
	 *
	 * @param flow - The flow, of which nothing has waited so far.
	 */
	activate(flow: Flow): void {
		if (this.#tags.size >= maxIdleFlows) {
			this.#forgetIdleFlows();
		}

		this.#tags.set(flow, Math.max(this.get(flow), this.#virtualTime));
	}

	/**
	 * Gets the start tag of a flow.
	 *
	 * @param flow - The flow.
	 * @returns The tag in units of virtual time; that of a new flow if it is unknown.
	 */
	get(flow: Flow): number {
		return this.#tags.get(flow) ?? this.#virtualTime;
	}

	/**
	 * Records that a flow was served.
	 *
	 * @param flow - The flow.
	 * @param weight - Its weight; a flow of twice the weight is served twice as often.
	 */
	charge(flow: Flow, weight = 1): void {
		const tag = this.get(flow);
		this.#virtualTime = Math.max(this.#virtualTime, tag);
		this.#tags.set(flow, tag + 1 / weight);
	}

	/** A flow whose tag has been passed by the virtual time is treated like a new one. */
	#forgetIdleFlows(): void {
		for (const [flow, tag] of this.#tags) {
			if (tag <= this.#virtualTime) {
				this.#tags.delete(flow);
			}
		}
	}
}

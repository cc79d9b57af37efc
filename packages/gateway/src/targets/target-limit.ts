/** The request rate that a target has named in its own responses. */

/** The kind of response in which a target spoke of its limit. */
export type LimitSource = 'probe' | 'attempt';

/** A change that a response has brought. */
export type LimitChange = 'limited' | 'unlimited';

/** How this host takes part in the limits of targets. */
export type LimitPolicy = {
	/**
	 * Gets the part of a limit that this host may use.
	 *
	 * @param perSecond - The limit in requests per second.
	 * @returns Requests per second.
	 */
	readonly getShare: (perSecond: number) => number;
	/** Gets how long to wait before a limit that was not heard of again is checked, in milliseconds. */
	readonly getCheckDelayMs: () => number;
};

/** The policy of a host that is alone. */
const soloPolicy: LimitPolicy = {
	getShare: (perSecond) => perSecond,
	getCheckDelayMs: () => 5000,
};
/** Time for which unused requests are saved up, in seconds; at least one request is. */
const burstSeconds = 0.5;
const msPerSecond = 1000;

/**
 * The limit of one incarnation of a target, and a token bucket with this host's
 * part of it. Health checks count against a limit too, so requests are sent
 * without one and the limit is checked rarely.
 */
export class TargetLimit {
	readonly #policy: LimitPolicy;
	#perSecond: number | undefined;
	/** The kinds of responses that have named the limit in force. */
	readonly #sources = new Set<LimitSource>();
	#tokens = 0;
	#filledAtMs = 0;
	#checkAtMs = 0;

	/**
	 * @param policy - How this host takes part in the limit.
	 */
	constructor(policy: LimitPolicy = soloPolicy) {
		this.#policy = policy;
	}

	/** Gets how many requests a second the target accepts from all hosts together; undefined without a limit. */
	get perSecond(): number | undefined {
		return this.#perSecond;
	}

	/** Gets whether the target has named a limit and not lifted it. */
	get isInForce(): boolean {
		return this.#perSecond !== undefined;
	}

	/**
	 * Records what a response says. A response without a limit lifts it only if
	 * responses of its kind have named it.
	 *
	 * @param perSecond - The named limit in requests per second; undefined if the response names none.
	 * @param source - The kind of response.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The change that it has brought; undefined if it brought none.
	 */
	add(
		perSecond: number | undefined,
		source: LimitSource,
		nowMs: number,
	): LimitChange | undefined {
		if (perSecond === undefined) {
			return this.#sources.has(source) ? this.lift() : undefined;
		}

		const wasInForce = this.isInForce;
		this.#fill(nowMs);
		this.#perSecond = perSecond;
		this.#sources.add(source);
		this.#scheduleCheck(nowMs);
		return wasInForce ? undefined : 'limited';
	}

	/**
	 * Lifts the limit.
	 *
	 * @returns The change that it has brought; undefined if there was no limit.
	 */
	lift(): LimitChange | undefined {
		const wasInForce = this.isInForce;
		this.#perSecond = undefined;
		this.#sources.clear();
		this.#tokens = 0;
		return wasInForce ? 'unlimited' : undefined;
	}

	/**
	 * Checks whether this host may send a request now.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it may.
	 */
	canSend(nowMs: number): boolean {
		return this.getWaitMs(nowMs) <= 0;
	}

	/**
	 * Counts a request that this host sends.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addSend(nowMs: number): void {
		this.#fill(nowMs);
		this.#tokens = Math.max(0, this.#tokens - 1);
	}

	/**
	 * Gets when this host may send the next request.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The time until then in milliseconds; infinite if this host has no part of the limit.
	 */
	getWaitMs(nowMs: number): number {
		if (this.#perSecond === undefined) {
			return 0;
		}

		this.#fill(nowMs);
		return this.#tokens >= 1
			? 0
			: ((1 - this.#tokens) / this.#policy.getShare(this.#perSecond)) *
					msPerSecond;
	}

	/**
	 * Checks whether this host may probe the target now, which it rarely does
	 * while a limit is in force.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it may.
	 */
	canProbe(nowMs: number): boolean {
		return !this.isInForce || nowMs >= this.#checkAtMs;
	}

	/**
	 * Counts a probe that this host sends.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addProbe(nowMs: number): void {
		this.#scheduleCheck(nowMs);
	}

	#scheduleCheck(nowMs: number): void {
		this.#checkAtMs = nowMs + this.#policy.getCheckDelayMs();
	}

	/** Fills the bucket; it starts empty with the limit, because the target has just had unlimited requests. */
	#fill(nowMs: number): void {
		const elapsedSeconds = (nowMs - this.#filledAtMs) / msPerSecond;
		this.#filledAtMs = nowMs;
		if (this.#perSecond === undefined) {
			return;
		}

		const share = this.#policy.getShare(this.#perSecond);
		const capacity = share === 0 ? 0 : Math.max(1, share * burstSeconds);
		this.#tokens = Math.min(capacity, this.#tokens + elapsedSeconds * share);
	}
}

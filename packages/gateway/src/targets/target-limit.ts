/** The request rate that a target has named in its own responses. */

/** The kind of response in which a target spoke of its limit. */
export type LimitSource = 'probe' | 'attempt';

/** A change that a response has brought. */
export type LimitChange = 'limited' | 'unlimited';

/** The limit of one incarnation of a target. */
export class TargetLimit {
	#perSecond: number | undefined;
	/** The kinds of responses that have named the limit in force. */
	readonly #sources = new Set<LimitSource>();

	/** Gets how many requests a second the target accepts from all hosts together; undefined without a limit. */
	get perSecond(): number | undefined {
		return this.#perSecond;
	}

	/**
	 * Records what a response says. A response without a limit lifts it only if
	 * responses of its kind have named it.
	 *
	 * @param perSecond - The named limit in requests per second; undefined if the response names none.
	 * @param source - The kind of response.
	 * @returns The change that it has brought; undefined if it brought none.
	 */
	add(
		perSecond: number | undefined,
		source: LimitSource,
	): LimitChange | undefined {
		if (perSecond !== undefined) {
			const wasLimited = this.#perSecond !== undefined;
			this.#perSecond = perSecond;
			this.#sources.add(source);
			return wasLimited ? undefined : 'limited';
		}

		if (!this.#sources.has(source)) {
			return undefined;
		}

		this.#perSecond = undefined;
		this.#sources.clear();
		return 'unlimited';
	}
}

/** Recognises a request that crashes the targets that run it. */

import type {Digest} from '@bilberryscale/core';

/** One crash that a request took part in. */
export type CrashIncident = {
	/** Names the target's life that ended. */
	readonly life: string;
	/** When, on the monotonic clock, in milliseconds. */
	readonly atMs: number;
	/** Tells whether the target is known to have ended, not just a connection. */
	readonly hasEnded: () => boolean;
};

/** What hosts tell each other of a suspect. */
export type CrashSuspect = {
	readonly signature: Digest;
	readonly incidents: ReadonlyArray<{
		readonly life: string;
		/** How long ago, in milliseconds. */
		readonly ageMs: number;
	}>;
};

const forgetMs = 300_000;
const highestSuspectCount = 1000;
const crashesToBar = 2;

/**
 * Remembers which requests were under way when targets ended.
 *
 * @remarks A request is barred after two lives that ended under it. One answer
 * clears it. Where two requests have taken part in the same ends neither is
 * barred; suspects run one at a time, so the next end tells them apart.
 */
export class CrashSuspects {
	readonly #incidents = new Map<Digest, CrashIncident[]>();
	#running: Digest | undefined;

	/** Gets whether nothing is suspected, so that no signature is needed. */
	get isEmpty(): boolean {
		return this.#incidents.size === 0;
	}

	/**
	 * Adds an end of a target that a request took part in.
	 *
	 * @param signature - The request.
	 * @param incident - The end.
	 */
	addIncident(signature: Digest, incident: CrashIncident): void {
		const former = this.#incidents.get(signature) ?? [];
		if (former.some(({life}) => life === incident.life)) {
			return;
		}

		this.#incidents.delete(signature);
		this.#incidents.set(signature, [...former, incident]);
		if (this.#incidents.size > highestSuspectCount) {
			this.#incidents.delete(this.#incidents.keys().next().value!);
		}
	}

	/**
	 * Clears a request that was answered.
	 *
	 * @param signature - The request.
	 */
	clear(signature: Digest): void {
		this.#incidents.delete(signature);
	}

	/**
	 * Tells whether a request must not run any more.
	 *
	 * @param signature - The request.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether two lives ended under it and under no other suspect both.
	 */
	isBarred(signature: Digest, nowMs: number): boolean {
		const lives = this.#getLives(signature, nowMs);
		if (lives.length < crashesToBar) {
			return false;
		}

		for (const other of this.#incidents.keys()) {
			const otherLives = this.#getLives(other, nowMs);
			if (
				other !== signature &&
				lives.every((life) => otherLives.includes(life))
			) {
				return false;
			}
		}

		return true;
	}

	/**
	 * Begins a run; a suspect waits until no other suspect runs.
	 *
	 * @param signature - The request.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it may run now.
	 */
	begin(signature: Digest, nowMs: number): boolean {
		if (this.#getLives(signature, nowMs).length === 0) {
			return true;
		}

		if (this.#running !== undefined) {
			return false;
		}

		this.#running = signature;
		return true;
	}

	/**
	 * Ends a run.
	 *
	 * @param signature - The request.
	 */
	end(signature: Digest): void {
		if (this.#running === signature) {
			this.#running = undefined;
		}
	}

	/**
	 * Gets what other hosts should know.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The suspects with the ends that are certain.
	 */
	getSuspects(nowMs: number): CrashSuspect[] {
		return [...this.#incidents.keys()]
			.map((signature) => ({
				signature,
				incidents: this.#getCertain(signature, nowMs).map(({life, atMs}) => ({
					life,
					ageMs: nowMs - atMs,
				})),
			}))
			.filter(({incidents}) => incidents.length > 0);
	}

	/**
	 * Takes in what another host knows.
	 *
	 * @param suspects - Its suspects.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addSuspects(suspects: readonly CrashSuspect[], nowMs: number): void {
		for (const {signature, incidents} of suspects) {
			for (const {life, ageMs} of incidents) {
				const atMs = nowMs - ageMs;
				this.addIncident(signature, {life, atMs, hasEnded: () => true});
			}
		}
	}

	#getLives(signature: Digest, nowMs: number): string[] {
		return this.#getCertain(signature, nowMs).map(({life}) => life);
	}

	/** Gets the ends that are certain, and forgets those of long ago. */
	#getCertain(signature: Digest, nowMs: number): CrashIncident[] {
		const incidents = this.#incidents.get(signature) ?? [];
		const kept = incidents.filter(({atMs}) => nowMs - atMs < forgetMs);
		if (kept.length === 0) {
			this.#incidents.delete(signature);
		} else if (kept.length < incidents.length) {
			this.#incidents.set(signature, kept);
		}

		return kept.filter(({hasEnded}) => hasEnded());
	}
}

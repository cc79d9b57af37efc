/** Detects requests that crash the targets that run them. */

import type {Digest} from '@bilberryscale/core';

/** A suspected crash of a target while a request was in flight on it. */
export type CrashIncident = {
	/** Identifies the incarnation of the target that crashed. */
	readonly incarnation: string;
	/** When the connection broke, on the monotonic clock, in milliseconds. */
	readonly atMs: number;
	/**
	 * Tells whether the target is known to have exited; a broken connection is
	 * not enough to tell.
	 */
	readonly isConfirmed: () => boolean;
};

/** A suspect as hosts report it to each other. */
export type CrashSuspect = {
	readonly signature: Digest;
	readonly incidents: ReadonlyArray<{
		readonly incarnation: string;
		/** The time since the crash, in milliseconds. */
		readonly ageMs: number;
	}>;
};

/** Incidents of this age are forgotten. */
const incidentTtlMs = 300_000;
/** Above this number, the suspect with the oldest last incident is dropped. */
const maxSuspectCount = 1000;
/** A request is blocked after crashes of this many incarnations. */
const minCrashesToBlock = 2;

/**
 * Records which requests were in flight when targets crashed.
 *
 * @remarks A request is blocked once two target incarnations have crashed while
 * running it. An answer clears it. If another suspect was in flight at the
 * same crashes, neither is blocked; suspects run one at a time, so the next
 * crash tells which of them is the cause.
 */
export class CrashSuspects {
	readonly #incidents = new Map<Digest, CrashIncident[]>();
	#runningSuspect: Digest | undefined;

	/** Whether there are no suspects, so that no signature has to be computed. */
	get isEmpty(): boolean {
		return this.#incidents.size === 0;
	}

	/**
	 * Records a suspected crash while a request was in flight. Further reports
	 * for the same incarnation are ignored.
	 *
	 * @param signature - The signature of the request.
	 * @param incident - The suspected crash.
	 */
	addIncident(signature: Digest, incident: CrashIncident): void {
		const previous = this.#incidents.get(signature) ?? [];
		if (
			previous.some(({incarnation}) => incarnation === incident.incarnation)
		) {
			return;
		}

		this.#incidents.delete(signature);
		this.#incidents.set(signature, [...previous, incident]);
		if (this.#incidents.size > maxSuspectCount) {
			this.#incidents.delete(this.#incidents.keys().next().value!);
		}
	}

	/**
	 * Clears a request that was answered.
	 *
	 * @param signature - The signature of the request.
	 */
	clear(signature: Digest): void {
		this.#incidents.delete(signature);
	}

	/**
	 * Tells whether a target may have crashed while it ran a request.
	 *
	 * @param signature - The signature of the request.
	 * @returns Whether an incident is known, confirmed or not, and no answer came since.
	 */
	isSuspect(signature: Digest): boolean {
		return this.#incidents.has(signature);
	}

	/**
	 * Tells whether a request is blocked because it crashes targets.
	 *
	 * @param signature - The signature of the request.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether two incarnations crashed while running it, and no other
	 * suspect was in flight at all of these crashes.
	 */
	isBlocked(signature: Digest, nowMs: number): boolean {
		const incarnations = this.#getCrashedIncarnations(signature, nowMs);
		if (incarnations.length < minCrashesToBlock) {
			return false;
		}

		for (const other of this.#incidents.keys()) {
			const otherIncarnations = this.#getCrashedIncarnations(other, nowMs);
			if (
				other !== signature &&
				incarnations.every((incarnation) =>
					otherIncarnations.includes(incarnation),
				)
			) {
				return false;
			}
		}

		return true;
	}

	/**
	 * Begins a run. Only one suspect may run at a time; other requests are not
	 * limited.
	 *
	 * @param signature - The signature of the request.
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns Whether it may run now.
	 */
	begin(signature: Digest, nowMs: number): boolean {
		if (this.#getCrashedIncarnations(signature, nowMs).length === 0) {
			return true;
		}

		if (this.#runningSuspect !== undefined) {
			return false;
		}

		this.#runningSuspect = signature;
		return true;
	}

	/**
	 * Ends a run.
	 *
	 * @param signature - The signature of the request.
	 */
	end(signature: Digest): void {
		if (this.#runningSuspect === signature) {
			this.#runningSuspect = undefined;
		}
	}

	/**
	 * Gets the suspects to report to other hosts.
	 *
	 * @param nowMs - The monotonic time in milliseconds.
	 * @returns The suspects with their confirmed crashes.
	 */
	getSuspects(nowMs: number): CrashSuspect[] {
		return [...this.#incidents.keys()]
			.map((signature) => ({
				signature,
				incidents: this.#getConfirmedIncidents(signature, nowMs).map(
					({incarnation, atMs}) => ({
						incarnation,
						ageMs: nowMs - atMs,
					}),
				),
			}))
			.filter(({incidents}) => incidents.length > 0);
	}

	/**
	 * Adds the suspects that another host reports.
	 *
	 * @param suspects - The suspects of the other host.
	 * @param nowMs - The monotonic time in milliseconds.
	 */
	addSuspects(suspects: readonly CrashSuspect[], nowMs: number): void {
		for (const {signature, incidents} of suspects) {
			for (const {incarnation, ageMs} of incidents) {
				const atMs = nowMs - ageMs;
				this.addIncident(signature, {
					incarnation,
					atMs,
					isConfirmed: () => true,
				});
			}
		}
	}

	#getCrashedIncarnations(signature: Digest, nowMs: number): string[] {
		return this.#getConfirmedIncidents(signature, nowMs).map(
			({incarnation}) => incarnation,
		);
	}

	/** Gets the confirmed incidents, and forgets the expired ones. */
	#getConfirmedIncidents(signature: Digest, nowMs: number): CrashIncident[] {
		const incidents = this.#incidents.get(signature) ?? [];
		const recent = incidents.filter(({atMs}) => nowMs - atMs < incidentTtlMs);
		if (recent.length === 0) {
			this.#incidents.delete(signature);
		} else if (recent.length < incidents.length) {
			this.#incidents.set(signature, recent);
		}

		return recent.filter(({isConfirmed}) => isConfirmed());
	}
}

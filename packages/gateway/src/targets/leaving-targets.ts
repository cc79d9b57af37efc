/** Remembers which targets are shutting down, whatever is published about them later. */

import type {TargetIncarnation} from '../plan/registered-target.js';

/** The oldest incarnations beyond this number are forgotten; it exceeds the targets of a large deployment twice. */
const maxCount = 10_000;

/**
 * The incarnations of targets that are shutting down. A lagging reader or a
 * restored copy of the store may list them as ready again.
 */
export class LeavingTargets {
	readonly #incarnations = new Set<TargetIncarnation>();

	/**
	 * Adds a target that is shutting down.
	 *
	 * @param incarnation - The incarnation of the target.
	 */
	add(incarnation: TargetIncarnation): void {
		this.#incarnations.delete(incarnation);
		this.#incarnations.add(incarnation);
		if (this.#incarnations.size > maxCount) {
			const [oldest] = this.#incarnations;
			this.#incarnations.delete(oldest!);
		}
	}

	/**
	 * Checks whether a target is known to be shutting down.
	 *
	 * @param incarnation - The incarnation of the target.
	 * @returns Whether it is.
	 */
	has(incarnation: TargetIncarnation): boolean {
		return this.#incarnations.has(incarnation);
	}
}

/** Targets that are registered at one address: at most one of them is there. */

import type {RegisteredTarget} from '../plan/registered-target.js';
import type {TargetState} from './target-state.js';

/** Finds the targets whose address another target has. */
export class SharedAddresses {
	readonly #states = new Map<string, readonly TargetState[]>();

	/**
	 * @param states - The states of all published targets.
	 */
	constructor(states: Iterable<TargetState>) {
		const groups = new Map<string, TargetState[]>();
		for (const state of states) {
			const key = getKey(state.registration);
			const group = groups.get(key);
			if (group === undefined) {
				groups.set(key, [state]);
				continue;
			}

			group.push(state);
			this.#states.set(key, group);
		}
	}

	/**
	 * Gets the targets that are not at the address of a target, as another one has responded there.
	 *
	 * @param registration - A target at that address.
	 * @param answeredBy - The id in the response.
	 * @returns The other targets of a shared address; none if the address is not shared.
	 */
	getDisplaced(
		registration: RegisteredTarget,
		answeredBy: string,
	): TargetState[] {
		return (this.#states.get(getKey(registration)) ?? []).filter(
			(state) => state.registration.id !== answeredBy,
		);
	}
}

function getKey({address, port}: RegisteredTarget): string {
	return `${address}:${port}`;
}

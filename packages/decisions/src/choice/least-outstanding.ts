/** Baseline policy: least outstanding requests over all candidates. */

import type {SelectionPolicy} from './selection-policy.js';

/**
 * Selects the candidate with the fewest outstanding requests of this host. The
 * scan starts at a random offset, so that ties don't favour the first one.
 */
export const chooseLeastOutstanding: SelectionPolicy = ({
	candidates,
	random,
}) => {
	const offset = Math.floor(random() * candidates.length);
	let best = candidates[offset]!;
	for (let index = 1; index < candidates.length; index++) {
		const other = candidates[(offset + index) % candidates.length]!;
		best = other.outstanding < best.outstanding ? other : best;
	}

	return best;
};

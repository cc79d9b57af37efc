/** The baseline that looks at this host's own requests on every candidate. */

import type {TargetChoice} from './target-choice.js';

/** Chooses the candidate with the fewest own requests; ties fall at random. */
export const chooseLeastOutstanding: TargetChoice = ({candidates, random}) => {
	const offset = Math.floor(random() * candidates.length);
	let best = candidates[offset]!;
	for (let step = 1; step < candidates.length; step++) {
		const other = candidates[(offset + step) % candidates.length]!;
		best = other.outstanding < best.outstanding ? other : best;
	}

	return best;
};

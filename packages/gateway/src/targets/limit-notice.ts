/** The notice with which hosts tell each other of limits. */

import type {TargetIncarnation} from '../plan/registered-target.js';
import type {LimitSource} from './target-limit.js';

/** The limit that a target has named to a host, or that it has lifted. */
export type LimitNotice = {
	readonly incarnation: TargetIncarnation;
	/** How many requests a second it accepts from all hosts together; undefined if it has lifted its limit. */
	readonly perSecond: number | undefined;
	/** The kind of response that said so. */
	readonly source: LimitSource;
};

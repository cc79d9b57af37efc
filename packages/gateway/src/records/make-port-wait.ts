/** Reports in the log that a server waits for its port. */

import type {Clock} from '@bilberryscale/core';
import type {PortWait} from '../edge/listen.js';
import type {EventLog} from './event-log.js';

/**
 * Makes the options of a wait for a port that is reported in the log.
 *
 * @param clock - The clock.
 * @param log - The log.
 * @returns The options.
 */
export function makePortWait(clock: Clock, log: EventLog): PortWait {
	return {
		clock,
		onPortInUse(detail) {
			log.warn('port in use', {detail});
		},
	};
}

/** Tells callers of a host that shuts down to go to another host. */

import {notRunFailure, type Failure} from '@bilberryscale/core';

/** Retry delay, in milliseconds; other hosts serve the callers at once. */
const retryAfterMs = 20;

/**
 * Makes the failure of a request that the host does not send because it shuts down.
 *
 * @param detail - What the shutdown prevents; a response in time by default.
 * @returns The failure.
 */
export function makeShutdownFailure(
	detail = 'This host shuts down before a target could answer.',
): Failure {
	return notRunFailure('shutting-down', detail, retryAfterMs);
}

/** Lets a server process pending connections and requests before it closes. */

import {setImmediate as nextTurn} from 'node:timers/promises';
import {processReadSchedule} from '../upstream/read-schedule.js';

/** Event loop turns: one each to accept a connection, read a head and read a body, and one spare. */
const eventLoopTurns = 4;
/** How long what has arrived may be parsed in a turn, in milliseconds. */
const maxReadMs = 20;

/**
 * Waits until the event loop has accepted the connections and read the requests
 * that were pending in the kernel.
 *
 * @remarks A delayed timer runs before the connections and requests that arrived
 * in the meantime are processed. If its callback closes the server at once, they
 * are reset.
 */
export async function waitForPendingIo(): Promise<void> {
	for (let turn = 0; turn < eventLoopTurns; turn++) {
		await nextTurn();
		processReadSchedule.runAll(maxReadMs);
	}
}

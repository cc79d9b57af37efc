/** Lets a server take what has arrived before it closes. */

import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop: to accept a connection, to read a head, to read a body, and one to spare. */
const turns = 4;

/**
 * Lets the event loop accept and read what waits in the kernel.
 *
 * @remarks A timer that is late runs before the connections and requests that
 * came meanwhile are looked at; a server that it closes would reset them.
 */
export async function takeArrived(): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await nextTurn();
	}
}

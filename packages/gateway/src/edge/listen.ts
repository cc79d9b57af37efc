/** Starts servers whose ports another process may still hold. */

import type {Server} from 'node:net';
import type {Clock} from '@bilberryscale/core';
import type {Endpoint} from '../context/gateway-settings.js';

/** How long to wait for a port. */
export type PortWait = {
	readonly clock: Clock;
	/** Called once if the port is in use, with the error message. */
	readonly onPortInUse: (detail: string) => void;
};

/** How long a process waits for a port before it gives up, in milliseconds. */
const maxWaitMs = 10_000;
const retryIntervalMs = 50;

/**
 * Listens on a port, and waits up to ten seconds for it if another process uses it, for example a
 * former one that has not quite ended.
 *
 * @param listen - Tries to listen; rejects if it can't.
 * @param wait - The clock and who is told of the wait.
 * @throws The error of the last attempt if the port stays in use, and every other error at once.
 */
export async function listenWhenFree(
	listen: () => Promise<void>,
	{clock, onPortInUse}: PortWait,
): Promise<void> {
	const untilMs = clock.monotonicMs() + maxWaitMs;
	let hasReported = false;
	for (;;) {
		try {
			await listen();
			return;
		} catch (error) {
			const isInUse = (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
			if (!isInUse || clock.monotonicMs() >= untilMs) {
				throw error;
			}

			if (!hasReported) {
				hasReported = true;
				onPortInUse((error as Error).message);
			}
		}

		await new Promise<void>((resolve) => {
			clock.schedule(retryIntervalMs, resolve);
		});
	}
}

/**
 * Makes a server listen; it may be called again after a failure.
 *
 * @param server - The server.
 * @param endpoint - The address and port.
 */
export async function listenOn(
	server: Server,
	{address, port}: Endpoint,
): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const onListening = () => {
			server.off('error', onError);
			resolve();
		};

		const onError = (error: Error) => {
			server.off('listening', onListening);
			reject(error);
		};

		server.once('listening', onListening);
		server.once('error', onError);
		server.listen({host: address, port});
	});
	// A connection could not be accepted, for example because no descriptor is free; the server goes on listening.
	server.on('error', () => undefined);
}

/** Limits what each connection of a small HTTP server takes from others, and how many there are. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {RequestPacer} from './request-pacer.js';

/**
 * Lets a server work on one request of a connection at a time, and closes the oldest connection when there are too many.
 *
 * @param server - The server, before it listens.
 * @param maxConnections - How many connections may be open.
 */
export function limitConnections(server: Server, maxConnections: number): void {
	const pacers = new Map<Socket, RequestPacer>();
	server.on('connection', (socket) => {
		pacers.set(socket, new RequestPacer(socket, {maxOpenRequests: 1}));
		socket.once('close', () => {
			pacers.delete(socket);
		});
		if (pacers.size > maxConnections) {
			const [oldest] = pacers.keys();
			oldest!.destroy();
		}
	});
	server.prependListener(
		'request',
		(request: IncomingMessage, response: ServerResponse) => {
			pacers.get(request.socket)?.addRequest(request, response);
		},
	);
}

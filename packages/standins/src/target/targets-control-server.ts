/** Takes orders for the targets' stand-ins over HTTP. */

import {fastify, type FastifyInstance} from 'fastify';
import type {TargetAction, TargetBehaviour} from './behaviour.js';
import type {TargetStandin} from './target-standin.js';

type OneTarget = {Params: {id: string}};

/**
 * Makes the server; it does not listen yet.
 *
 * @param targets - The targets that take orders.
 * @returns The server.
 */
export function makeTargetsControlServer(
	targets: readonly TargetStandin[],
): FastifyInstance {
	const server = fastify({logger: false, forceCloseConnections: true});
	const byId = new Map(targets.map((target) => [target.id, target]));
	const find = (id: string) => {
		const target = byId.get(id);
		if (target === undefined) {
			throw new Error(`No target "${id}".`);
		}

		return target;
	};

	server.post<OneTarget & {Body: Partial<TargetBehaviour>}>(
		'/targets/:id/behaviour',
		async (request) => {
			find(request.params.id).setBehaviour(request.body);
			return {};
		},
	);
	server.post<OneTarget & {Body: TargetAction}>(
		'/targets/:id/actions',
		async (request) => {
			await find(request.params.id).act(request.body);
			return {};
		},
	);
	server.get<OneTarget>(
		'/targets/:id/counters',
		async (request) => find(request.params.id).counters,
	);
	return server;
}

/** HTTP API that controls the simulated targets. */

import {fastify, type FastifyInstance} from 'fastify';
import type {SimulatedTarget} from './simulated-target.js';
import type {TargetAction, TargetBehaviour} from './target-behaviour.js';

type TargetRoute = {Params: {id: string}};

/**
 * Creates the control server without listening.
 *
 * @param targets - The targets to control.
 * @returns The server.
 */
export function makeTargetsControlServer(
	targets: readonly SimulatedTarget[],
): FastifyInstance {
	const server = fastify({logger: false, forceCloseConnections: true});
	const targetsById = new Map(targets.map((target) => [target.id, target]));
	const findTargetOrThrow = (id: string) => {
		const target = targetsById.get(id);
		if (target === undefined) {
			throw new Error(`No target "${id}".`);
		}

		return target;
	};

	server.post<TargetRoute & {Body: Partial<TargetBehaviour>}>(
		'/targets/:id/behaviour',
		async (request) => {
			findTargetOrThrow(request.params.id).setBehaviour(request.body);
			return {};
		},
	);
	server.post<TargetRoute & {Body: TargetAction}>(
		'/targets/:id/actions',
		async (request) => {
			await findTargetOrThrow(request.params.id).performAction(request.body);
			return {};
		},
	);
	server.get<TargetRoute>(
		'/targets/:id/counters',
		async (request) => findTargetOrThrow(request.params.id).counters,
	);
	return server;
}

/** The server that operators and the platform's balancer talk to. */

import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {fastify, type FastifyInstance} from 'fastify';
import type {AuditRecord} from '../audit/audit-trail.js';
import type {CallRecord} from './decision-log.js';

/** What a host says of itself. */
export type HostStatus = {
	readonly host: string;
	readonly incarnation: string;
	readonly dataCentre: string;
	readonly isReady: boolean;
	readonly bundleVersion: number | undefined;
	/** The digest of the manifest in force. */
	readonly bundleDigest: string | undefined;
	/** The data centres that the bundle in force has out. */
	readonly dataCentresOut: readonly string[];
};

/** What the server works with. */
export type OperatorServerOptions = {
	readonly token: string;
	readonly getStatus: () => HostStatus;
	readonly getAudit: (fromSequence: number) => readonly AuditRecord[];
	/** Gets what was decided about a recent call. */
	readonly getCalls: (requestId: string) => readonly CallRecord[];
};

type AuditQuery = {
	/** The first sequence number wanted. */
	readonly from?: string;
	/** The life that the number belongs to; another life is sent in full. */
	readonly incarnation?: string;
};

const badRequest = 400;
const unauthorized = 401;
const unavailable = 503;

/**
 * Makes the server; it does not listen yet.
 *
 * @param options - Who may ask and what is answered.
 * @returns The server.
 */
export function makeOperatorServer(
	options: OperatorServerOptions,
): FastifyInstance {
	const server = fastify({logger: false});
	server.addHook('onRequest', async (request, reply) => {
		const isOpen = request.url === '/ready';
		if (!isOpen && !isAuthorized(request.headers.authorization, options)) {
			await reply
				.code(unauthorized)
				.send({error: 'an operator token is needed'});
		}
	});
	server.get('/ready', async (_request, reply) => {
		const {isReady} = options.getStatus();
		return reply.code(isReady ? 200 : unavailable).send({isReady});
	});
	server.get('/status', async () => options.getStatus());
	server.get<{Querystring: AuditQuery}>('/audit', async (request, reply) => {
		const {from = '0', incarnation} = request.query;
		if (!/^\d{1,15}$/v.test(from)) {
			return reply.code(badRequest).send({error: '"from" must be a number'});
		}

		const isSameLife =
			incarnation === undefined ||
			incarnation === options.getStatus().incarnation;
		return options.getAudit(isSameLife ? Number(from) : 0);
	});
	server.get<{Params: {requestId: string}}>(
		'/explain/:requestId',
		async (request) => options.getCalls(request.params.requestId),
	);
	return server;
}

function isAuthorized(
	header: string | undefined,
	options: OperatorServerOptions,
): boolean {
	const expected = Buffer.from(`Bearer ${options.token}`);
	const given = Buffer.from(header ?? '');
	return given.length === expected.length && timingSafeEqual(given, expected);
}

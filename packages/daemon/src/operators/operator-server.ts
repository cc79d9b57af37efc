/** The HTTP server for operators and for the platform's load balancer. */

import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {fastify, type FastifyInstance} from 'fastify';
import type {AuditRecord} from '../audit/audit-trail.js';
import type {CallRecord} from './decision-log.js';

/** The state that a host reports. */
export type HostStatus = {
	readonly host: string;
	readonly incarnation: string;
	readonly dataCentre: string;
	readonly isReady: boolean;
	readonly bundleVersion: number | undefined;
	/** The digest of the active manifest. */
	readonly bundleDigest: string | undefined;
	/** The data centres that the active bundle drains. */
	readonly dataCentresOut: readonly string[];
};

/** The options of the operator server. */
export type OperatorServerOptions = {
	readonly token: string;
	readonly getStatus: () => HostStatus;
	readonly getAuditRecords: (fromSequence: number) => readonly AuditRecord[];
	/** Finds the records of recent requests with this id. */
	readonly getCallRecords: (requestId: string) => readonly CallRecord[];
};

type AuditQuery = {
	/** The lowest sequence number to return. */
	readonly from?: string;
	/** The incarnation that `from` refers to; if the host runs another one, all records are sent. */
	readonly incarnation?: string;
};

const badRequestStatus = 400;
const unauthorizedStatus = 401;
const unavailableStatus = 503;

/**
 * Makes the server without starting to listen.
 *
 * @param options - The operators' token and the functions that provide the answers.
 * @returns The server.
 */
export function makeOperatorServer(
	options: OperatorServerOptions,
): FastifyInstance {
	const server = fastify({logger: false});
	server.addHook('onRequest', async (request, reply) => {
		const isPublic = request.url === '/ready';
		if (!isPublic && !isAuthorized(request.headers.authorization, options)) {
			await reply
				.code(unauthorizedStatus)
				.send({error: 'an operator token is needed'});
		}
	});
	server.get('/ready', async (_request, reply) => {
		const {isReady} = options.getStatus();
		return reply.code(isReady ? 200 : unavailableStatus).send({isReady});
	});
	server.get('/status', async () => options.getStatus());
	server.get<{Querystring: AuditQuery}>('/audit', async (request, reply) => {
		const {from = '0', incarnation} = request.query;
		if (!/^\d{1,15}$/v.test(from)) {
			return reply
				.code(badRequestStatus)
				.send({error: '"from" must be a number'});
		}

		const isSameIncarnation =
			incarnation === undefined ||
			incarnation === options.getStatus().incarnation;
		return options.getAuditRecords(isSameIncarnation ? Number(from) : 0);
	});
	server.get<{Params: {requestId: string}}>(
		'/explain/:requestId',
		async (request) => options.getCallRecords(request.params.requestId),
	);
	return server;
}

function isAuthorized(
	header: string | undefined,
	options: OperatorServerOptions,
): boolean {
	const expected = Buffer.from(`Bearer ${options.token}`);
	const actual = Buffer.from(header ?? '');
	return actual.length === expected.length && timingSafeEqual(actual, expected);
}

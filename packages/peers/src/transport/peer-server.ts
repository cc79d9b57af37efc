/** Answers messages of peers, as JSON-RPC over HTTPS with mutual TLS. */

import type {TLSSocket} from 'node:tls';
import type {Server} from 'node:https';
import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {fastify, type FastifyInstance} from 'fastify';
import {JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import type {z} from 'zod';
import {
	forwardedCallSchema,
	heartbeatSchema,
	manifestRequestSchema,
	partRequestSchema,
	type ForwardedCall,
	type ForwardedReply,
	type Heartbeat,
	type HeartbeatReply,
	type PartRequest,
	type TextReply,
} from '../protocol/messages.js';
import type {PeerIdentity} from '../membership/peer-state.js';
import type {TlsMaterial} from './tls-files.js';

/** The handlers of the methods. */
export type PeerHandlers = {
	readonly heartbeat: (message: Heartbeat) => HeartbeatReply;
	readonly call: (message: ForwardedCall) => Promise<ForwardedReply>;
	readonly getManifest: () => TextReply;
	readonly getPart: (message: PartRequest) => TextReply;
};

/** The options of a `PeerServer`. */
export type PeerServerOptions = {
	readonly incarnation: IncarnationId;
	readonly tls: TlsMaterial;
	readonly handlers: PeerHandlers;
	/**
	 * Called with each connection or message that is refused and why, except for
	 * messages to a former incarnation.
	 */
	readonly onRefused: (peer: HostId, cause: string) => void;
};

/** The host named in the client certificate of a connection. */
type Sender = {readonly host: HostId};
type Envelope = {
	readonly from: PeerIdentity;
	readonly to?: IncarnationId | undefined;
};

const maxMessageBytes = 16 * 1024 * 1024;
const invalidParametersCode = -32_602;
const requestRefusedCode = -32_001;

/** The server for the messages of peers. */
export class PeerServer {
	readonly #options: PeerServerOptions;
	readonly #rpc: JSONRPCServer<Sender>;
	readonly #http: FastifyInstance<Server>;

	/**
	 * @param options - The certificate and the handlers of the messages.
	 */
	constructor(options: PeerServerOptions) {
		this.#options = options;
		this.#rpc = new JSONRPCServer<Sender>({errorListener: () => undefined});
		this.#rpc.mapErrorToJSONRPCErrorResponse = (id, error: Error) => ({
			jsonrpc: '2.0',
			id,
			error: {
				code:
					error instanceof JSONRPCErrorException
						? error.code
						: requestRefusedCode,
				message: error.message,
			},
		});
		this.#addMethods();
		this.#http = this.#createHttpServer();
	}

	/**
	 * Starts to listen for peers.
	 *
	 * @param address - The IP address.
	 * @param port - The port.
	 */
	async listen(address: string, port: number): Promise<void> {
		await this.#http.listen({host: address, port});
	}

	/**
	 * Replaces the certificates for new connections.
	 *
	 * @param tls - The new certificates.
	 */
	setTls(tls: TlsMaterial): void {
		this.#http.server.setSecureContext(tls);
	}

	/** Stops listening and waits for pending answers. */
	async close(): Promise<void> {
		await this.#http.close();
	}

	#createHttpServer(): FastifyInstance<Server> {
		const http = fastify({
			logger: false,
			bodyLimit: maxMessageBytes,
			forceCloseConnections: 'idle',
			https: {
				...this.#options.tls,
				requestCert: true,
				rejectUnauthorized: true,
				minVersion: 'TLSv1.3',
			},
		});
		http.server.on('tlsClientError', (error) => {
			this.#options.onRefused(makeId<HostId>('unauthenticated'), error.message);
		});
		http.removeAllContentTypeParsers();
		http.addContentTypeParser(
			'*',
			{parseAs: 'string'},
			async (_: unknown, body: unknown) => body,
		);
		http.post('/rpc', async (request, reply) => {
			const socket = request.raw.socket as TLSSocket;
			const host = makeId<HostId>(
				String(socket.getPeerCertificate().subject?.CN),
			);
			const answer = await this.#rpc.receiveJSON(String(request.body), {host});
			return reply.type('application/json').send(JSON.stringify(answer));
		});
		return http;
	}

	#addMethods(): void {
		const {handlers} = this.#options;
		this.#addMethod('heartbeat', heartbeatSchema, handlers.heartbeat);
		this.#addMethod('call', forwardedCallSchema, handlers.call);
		this.#addMethod('manifest', manifestRequestSchema, handlers.getManifest);
		this.#addMethod('part', partRequestSchema, handlers.getPart);
	}

	#addMethod<Message extends Envelope, Reply>(
		name: string,
		schema: z.ZodType<Message>,
		handle: (message: Message) => Reply,
	): void {
		this.#rpc.addMethod(name, (parameters, sender) => {
			const checked = schema.safeParse(parameters);
			if (!checked.success) {
				const cause = `${name}: ${checked.error.issues[0]?.message}`;
				this.#options.onRefused(sender.host, cause);
				throw new JSONRPCErrorException(cause, invalidParametersCode);
			}

			this.#checkEnvelope(name, checked.data, sender);
			return handle(checked.data);
		});
	}

	#checkEnvelope(name: string, message: Envelope, sender: Sender): void {
		if (message.from.host !== sender.host) {
			const cause = `${name}: says it is from "${message.from.host}"`;
			this.#options.onRefused(sender.host, cause);
			throw new JSONRPCErrorException(cause, requestRefusedCode);
		}

		if (message.to !== undefined && message.to !== this.#options.incarnation) {
			throw new JSONRPCErrorException(
				`${name}: is for a former incarnation`,
				requestRefusedCode,
			);
		}
	}
}

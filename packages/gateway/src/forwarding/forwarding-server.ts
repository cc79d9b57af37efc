/** Accepts requests that other hosts forward because they reach no target. */

import {Buffer} from 'node:buffer';
import {notRunFailure, type Clock} from '@bilberryscale/core';
import {
	getProblemAnswer,
	makeCallerListener,
	type Answer,
	type CallerListener,
	type CallerProtocol,
	type Exchange,
	type FilterResult,
	type OpenRequest,
} from '@bilberryscale/daemon/edge';
import {Err, Ok} from 'ts-results-es';
import type {Endpoint} from '../context/gateway-settings.js';
import {CallerServer} from '../edge/caller-server.js';
import type {EventLog} from '../records/event-log.js';
import {
	attemptsLeftHeader,
	checksAccountsHeader,
	forwardingHealthPath,
	hostHeader,
	openRequestsHeader,
	sentCopiesHeader,
	uncountedHeader,
	unsettledCopiesHeader,
	type ForwardedRequest,
} from './forwarding-protocol.js';

/** This host and how it handles requests. */
export type ForwardingServerOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly callerProtocol: CallerProtocol;
	/** The IP address of this host. */
	readonly address: string;
	/** Whether this host takes requests from others now. */
	readonly isAvailable: () => boolean;
	readonly isShuttingDown: () => boolean;
	readonly getOpenRequestCount: () => number;
	/** Relays a request as the other host has asked. */
	readonly run: (
		exchange: Exchange,
		forwarding: ForwardedRequest,
	) => Promise<FilterResult>;
};

const okStatus = 200;
const unavailableStatus = 503;

/** The server for requests from other hosts. */
export class ForwardingServer {
	readonly #options: ForwardingServerOptions;
	readonly #server = new CallerServer();
	readonly #listener: CallerListener;

	/**
	 * @param options - This host and how it handles requests.
	 */
	constructor(options: ForwardingServerOptions) {
		this.#options = options;
		const {clock, log, callerProtocol, isShuttingDown} = options;
		this.#listener = makeCallerListener({
			pipeline: async (exchange) => this.#handle(exchange),
			clock,
			log: {
				error(message: string, fields: Record<string, unknown>) {
					log.warn(message, fields);
				},
			},
			getUnavailableFailure: () => undefined,
			isClosingConnections: isShuttingDown,
			protocol: callerProtocol,
		});
		this.#server.setListener(this.#listener);
	}

	/**
	 * Starts listening.
	 *
	 * @param endpoint - The address and port.
	 */
	async listen(endpoint: Endpoint): Promise<void> {
		await this.#server.listen(endpoint);
	}

	/** Gets the requests of other hosts that have no answer yet. */
	getOpenRequests(): readonly OpenRequest[] {
		return this.#listener.getOpenRequests();
	}

	/** Gets the number of connections from other hosts. */
	getConnectionCount(): number {
		return this.#listener.getConnectionCount();
	}

	/** Answers all requests that have no response yet. */
	endRequests(): void {
		this.#listener.endRequests();
	}

	/** Refuses the requests that no target has got yet and that none could answer before the host shuts down. */
	refuseLateRequests(): readonly OpenRequest[] {
		return this.#listener.refuseLateRequests();
	}

	/** Stops accepting connections and requests; each connection closes after its last pending response. */
	close(): void {
		this.#server.close();
	}

	async #handle(exchange: Exchange): Promise<FilterResult> {
		const {headers, url} = exchange.incoming;
		const text = headers[attemptsLeftHeader];
		if (text === undefined && url === forwardingHealthPath) {
			return this.#describeHealth();
		}

		// Targets get the request as the caller sent it.
		Reflect.deleteProperty(headers, attemptsLeftHeader);
		const isCounted = headers[uncountedHeader] === undefined;
		Reflect.deleteProperty(headers, uncountedHeader);
		const attemptsLeft = Number(text);
		if (!Number.isSafeInteger(attemptsLeft) || attemptsLeft <= 0) {
			return Err(
				notRunFailure(
					'bad-request',
					`The forwarded request allows "${String(text)}" attempts.`,
				),
			);
		}

		const result = await this.#options.run(exchange, {attemptsLeft, isCounted});
		return Ok(this.#addCopies(exchange, result));
	}

	/** Adds to an answer or a failure how often the request was sent, which the other host has to count. */
	#addCopies(
		{incoming, sentCopies, unsettledCopies = 0}: Exchange,
		result: FilterResult,
	): Answer {
		const {callerProtocol} = this.#options;
		const answer = result.isOk()
			? result.value
			: getProblemAnswer(result.error, incoming.requestId, callerProtocol);
		return {
			...answer,
			headers: {
				...answer.headers,
				[sentCopiesHeader]: String(sentCopies),
				[unsettledCopiesHeader]: String(unsettledCopies),
			},
		};
	}

	#describeHealth(): FilterResult {
		const {address, isAvailable, getOpenRequestCount} = this.#options;
		return Ok({
			status: isAvailable() ? okStatus : unavailableStatus,
			headers: {
				[hostHeader]: address,
				[checksAccountsHeader]: '1',
				[openRequestsHeader]: String(getOpenRequestCount()),
				'content-length': '0',
			},
			body: Buffer.alloc(0),
		});
	}
}

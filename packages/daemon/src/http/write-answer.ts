/** Writes a response to the caller, who can detect whether it was truncated. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable, pipeline as pipeStreams} from 'node:stream';
import {
	possiblyRunFailure,
	type Clock,
	type RequestId,
} from '@bilberryscale/core';
import type {Answer} from '../pipeline/exchange.js';
import type {CallerProtocol} from './caller-protocol.js';
import {getResponseHeaders} from './forwarded-headers.js';
import {getProblemAnswer} from './problem-answer.js';

/** An answer and the request that it responds to. */
export type AnswerDelivery = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly answer: Answer;
	/** Whether the connection closes after the response. */
	readonly isLastOnConnection: boolean;
	readonly clock: Clock;
	readonly protocol: CallerProtocol;
};

const lingerTimeoutMs = 1000;

/**
 * Writes an answer. If its body stream fails, aborts the connection to the caller.
 *
 * @param delivery - The answer and its request.
 */
export function writeAnswer(delivery: AnswerDelivery): void {
	const {request, response, answer} = delivery;
	if (!writeHead(delivery)) {
		return;
	}

	if (answer.body instanceof Readable) {
		answer.body.once('error', () => {
			abortConnection(request, answer);
		});
		pipeStreams(answer.body, response, () => undefined);
		return;
	}

	if (request.complete) {
		response.end(answer.body);
	} else {
		endAfterRequestBody(delivery, answer.body);
	}
}

/**
 * Writes the status and the headers.
 *
 * @returns False if they were invalid and an error response was sent instead.
 */
function writeHead(delivery: AnswerDelivery): boolean {
	const {request, response, answer, requestId, isLastOnConnection, protocol} =
		delivery;
	const headers = getResponseHeaders(answer.headers);
	headers[protocol.requestIdHeader] = requestId;
	if (isLastOnConnection || !request.complete || answer.isCloseDelimited) {
		headers.connection = 'close';
	}

	if (answer.isCloseDelimited) {
		delete headers['content-length'];
		// Without chunked encoding the end of the connection delimits the body, as in the response of the target.
		response.useChunkedEncodingByDefault = false;
	}

	try {
		response.writeHead(answer.status, headers);
		queueHead(response);
		return true;
	} catch (error) {
		writeHeadProblem(delivery, error as Error);
		return false;
	}
}

function writeHeadProblem(delivery: AnswerDelivery, error: Error): void {
	const {response, answer, requestId, protocol} = delivery;
	if (answer.body instanceof Readable) {
		answer.body.on('error', () => undefined);
		answer.body.destroy();
	}

	const problem = getProblemAnswer(
		possiblyRunFailure(
			'target-failed',
			`The answer is not HTTP: ${error.message}`,
		),
		requestId,
		protocol,
	);
	response.writeHead(problem.status, problem.headers);
	queueHead(response);
	response.end(problem.body);
}

/**
 * Queues the head of a response that waits for earlier ones on its connection.
 * Node would otherwise queue it with the body and put it before what waits already,
 * so that an interim response would become a part of the body.
 */
function queueHead(response: ServerResponse): void {
	if (response.socket === null) {
		response.flushHeaders();
	}
}

/**
 * Keeps reading the request body for up to `lingerTimeoutMs` before ending the
 * response. Closing a connection with unread bytes resets it, and the caller
 * could lose the response.
 */
function endAfterRequestBody(delivery: AnswerDelivery, body: Uint8Array): void {
	const {request, response, clock} = delivery;
	const end = () => {
		cancel();
		if (!response.writableEnded) {
			response.end();
		}
	};

	const cancel = clock.schedule(lingerTimeoutMs, end);
	response.write(body);
	request.once('end', end);
	request.once('close', end);
	request.resume();
}

/**
 * Aborts the connection so that the caller detects a truncated body. Where the end
 * of the connection delimits the body, as always in HTTP/1.0, an orderly close
 * would look like the end of the body.
 */
function abortConnection(
	{socket, httpVersion}: IncomingMessage,
	{isCloseDelimited}: Answer,
): void {
	if (httpVersion === '1.0' || isCloseDelimited === true) {
		// Node would first write what is buffered and close the connection in order.
		socket.destroySoon = () => {
			socket.destroy();
		};

		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}
}

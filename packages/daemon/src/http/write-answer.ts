/** Writes an answer to the caller, whole or not at all. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable, pipeline as pipeStreams} from 'node:stream';
import {perhapsRun, type Clock, type RequestId} from '@bilberryscale/core';
import type {Answer} from '../pipeline/exchange.js';
import type {CallerProtocol} from './caller-protocol.js';
import {getReturnedHeaders} from './forwarded-headers.js';
import {getProblemAnswer} from './problem.js';

/** An answer and the call that it ends. */
export type AnswerDelivery = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: RequestId;
	readonly answer: Answer;
	/** Whether the connection closes after the answer. */
	readonly isLast: boolean;
	readonly clock: Clock;
	readonly protocol: CallerProtocol;
};

const lingerMs = 1000;

/**
 * Writes an answer; a body that breaks off cuts the caller's connection.
 *
 * @param delivery - The answer and the call.
 */
export function writeAnswer(delivery: AnswerDelivery): void {
	const {request, response, answer} = delivery;
	if (!writeHead(delivery)) {
		return;
	}

	if (answer.body instanceof Readable) {
		answer.body.once('error', () => {
			cut(request);
		});
		pipeStreams(answer.body, response, () => undefined);
		return;
	}

	if (request.complete) {
		response.end(answer.body);
	} else {
		endAfterRequest(delivery, answer.body);
	}
}

/**
 * Writes the status and the headers.
 *
 * @returns False if they could not be written and a refusal was sent instead.
 */
function writeHead(delivery: AnswerDelivery): boolean {
	const {request, response, answer, requestId, isLast, protocol} = delivery;
	const headers = getReturnedHeaders(answer.headers);
	headers[protocol.requestIdHeader] = requestId;
	if (isLast || !request.complete || answer.isOpenEnded) {
		headers.connection = 'close';
	}

	if (answer.isOpenEnded) {
		delete headers['content-length'];
		// Without chunks the answer ends with the connection, as the target's does.
		response.useChunkedEncodingByDefault = false;
	}

	try {
		response.writeHead(answer.status, headers);
		return true;
	} catch (error) {
		refuseHead(delivery, error as Error);
		return false;
	}
}

function refuseHead(delivery: AnswerDelivery, error: Error): void {
	const {response, answer, requestId, protocol} = delivery;
	if (answer.body instanceof Readable) {
		answer.body.on('error', () => undefined);
		answer.body.destroy();
	}

	const problem = getProblemAnswer(
		perhapsRun('target-failed', `The answer is not HTTP: ${error.message}`),
		requestId,
		protocol,
	);
	response.writeHead(problem.status, problem.headers);
	response.end(problem.body);
}

/**
 * Reads on for a while before the end, so that closing the connection with
 * bytes unread does not reset it before the caller has read the answer.
 */
function endAfterRequest(delivery: AnswerDelivery, body: Uint8Array): void {
	const {request, response, clock} = delivery;
	const end = () => {
		cancel();
		if (!response.writableEnded) {
			response.end();
		}
	};

	const cancel = clock.schedule(lingerMs, end);
	response.write(body);
	request.once('end', end);
	request.once('close', end);
	request.resume();
}

/** Cuts the connection so that no version of HTTP takes it for a whole end. */
function cut({socket, httpVersion}: IncomingMessage): void {
	if (httpVersion === '1.0') {
		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}
}

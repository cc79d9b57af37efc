/** The messages by which hosts share the limits of cold targets, as methods and parameters of JSON-RPC. */

import {makeId, type ServiceName, type TargetId} from '@bilberryscale/core';

/** Asks a holder for a permit to send a request to a cold target. */
export type PermitRequest = {
	readonly method: 'warm-up-permit';
	/** Identifies the request at its sender. */
	readonly requestNumber: number;
	readonly service: ServiceName;
	readonly target: TargetId;
};

/** Answers a request for a permit. */
export type PermitReply = {
	readonly method: 'warm-up-permit-reply';
	readonly requestNumber: number;
	readonly isGranted: boolean;
	/** When to ask again if there was no permit, in milliseconds. */
	readonly retryAfterMs: number;
};

/** A message about the limits of cold targets. */
export type WarmUpMessage = PermitRequest | PermitReply;

/**
 * Checks whether a message is about the limits of cold targets.
 *
 * @param message - A message between hosts.
 * @returns Whether its method is one of this module.
 */
export function isWarmUpMessage(message: {
	readonly method: string;
}): message is WarmUpMessage {
	return (
		message.method === 'warm-up-permit' ||
		message.method === 'warm-up-permit-reply'
	);
}

/**
 * Encodes the parameters of a message.
 *
 * @param message - The message.
 * @returns The parameters.
 */
export function encodeWarmUpParameters(
	message: WarmUpMessage,
): readonly unknown[] {
	return message.method === 'warm-up-permit'
		? [message.requestNumber, message.service, message.target]
		: [
				message.requestNumber,
				message.isGranted,
				Math.ceil(message.retryAfterMs),
			];
}

/**
 * Decodes a message.
 *
 * @param method - The method.
 * @param parameters - The parameters.
 * @returns The message; undefined if the method is unknown or the parameters are invalid.
 */
export function decodeWarmUpMessage(
	method: string,
	parameters: readonly unknown[],
): WarmUpMessage | undefined {
	const [requestNumber, second, third] = parameters;
	if (!Number.isSafeInteger(requestNumber)) {
		return undefined;
	}

	if (method === 'warm-up-permit') {
		return typeof second === 'string' && typeof third === 'string'
			? {
					method,
					requestNumber: Number(requestNumber),
					service: makeId<ServiceName>(second),
					target: makeId<TargetId>(third),
				}
			: undefined;
	}

	return method === 'warm-up-permit-reply' &&
		typeof second === 'boolean' &&
		typeof third === 'number' &&
		third >= 0
		? {
				method,
				requestNumber: Number(requestNumber),
				isGranted: second,
				retryAfterMs: third,
			}
		: undefined;
}

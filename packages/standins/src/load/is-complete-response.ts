/** Checks that a response is complete and belongs to its call. */

import {createHash} from 'node:crypto';

/** The JSON body of a response: from a target, or a problem document. */
export type ResponseContent = {
	readonly requestId?: string;
	readonly key?: string;
	readonly bodyDigest?: string;
	/** The error kind of a problem document. */
	readonly kind?: string;
	readonly ran?: string;
};

/** The parts of a request that its response must match. */
export type SentRequest = {
	readonly requestId: string;
	readonly key: string | undefined;
	readonly body: string;
};

/**
 * Checks whether a response is complete and belongs to a call.
 *
 * @remarks A retry may get the response to the first attempt, which has the same
 * idempotency key but another request ID.
 * @param content - The body of the response.
 * @param sent - The request that was sent.
 * @returns True if the response is complete and belongs to the call.
 */
export function isCompleteResponse(
	content: ResponseContent,
	sent: SentRequest,
): boolean {
	const {requestId, key, body} = sent;
	if (content.kind !== undefined) {
		return content.requestId === requestId;
	}

	const isSameCall =
		content.requestId === requestId ||
		(key !== undefined && content.key === key);
	const digest = createHash('sha256').update(body).digest('hex');
	return isSameCall && content.bodyDigest === digest;
}

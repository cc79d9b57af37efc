/** Tells whether an answer is whole and belongs to its call. */

import {createHash} from 'node:crypto';

/** The content of an answer, from a target or as a problem document. */
export type ResponseContent = {
	readonly requestId?: string;
	readonly key?: string;
	readonly bodyDigest?: string;
	/** The error kind of a problem document. */
	readonly kind?: string;
	readonly ran?: string;
};

/** What was sent. */
export type SentRequest = {
	readonly requestId: string;
	readonly key: string | undefined;
	readonly body: string;
};

/**
 * Tells whether an answer is the whole answer to a call.
 *
 * @remarks A call that was sent again may get the first send's answer, which
 * bears the same key but another request id.
 * @param content - The content of the answer.
 * @param sent - What was sent.
 * @returns True if it is.
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

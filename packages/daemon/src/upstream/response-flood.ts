/** Bytes without end that are no part of a useful response. */

/** What a target sends without end. */
export type ResponseFloodKind =
	/** Informational responses before the final one. */
	| 'informational responses'
	/** Other bytes before the end of the head, such as header lines. */
	| 'head'
	/** Bytes of a body that frame it, such as chunk sizes, extensions and trailers. */
	| 'framing'
	/** Bytes on a connection that waits for no response. */
	| 'unsolicited bytes'
	/** A body that is not passed on. */
	| 'unused body';

/** A flood that ended a connection. */
export type ResponseFlood = {
	readonly kind: ResponseFloodKind;
	/** How many useless bytes were read. */
	readonly bytes: number;
};

/** Ends a connection whose target floods it. */
export class ResponseFloodError extends Error {
	override readonly name = 'ResponseFloodError';

	/**
	 * @param flood - What the target has sent.
	 */
	constructor(readonly flood: ResponseFlood) {
		super(`the target sent ${flood.bytes} bytes without end: ${flood.kind}`);
	}
}

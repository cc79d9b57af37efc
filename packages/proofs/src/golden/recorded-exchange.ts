/** A message and its answer between two parties of a session. */

/** Headers as they are recorded. */
export type RecordedHeaders = Readonly<
	Record<string, string | readonly string[] | undefined>
>;

/** A request as it is recorded. */
export type RecordedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: RecordedHeaders;
	readonly body?: string;
};

/** An answer as it is recorded. */
export type RecordedAnswer = {
	readonly status: number;
	readonly headers?: RecordedHeaders;
	readonly body: string;
};

/** Which two parties spoke. */
export type Parties =
	| 'caller and entry'
	| 'entry and target'
	| 'entry and platform'
	| 'operator and entry';

/** One exchange. */
export type RecordedExchange = {
	readonly between: Parties;
	readonly request: RecordedRequest;
	/** The answer, or how the exchange ended without one. */
	readonly answer: RecordedAnswer | string;
};

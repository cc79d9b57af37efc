/** The format of recorded exchanges between the parties of a session. */

/** The headers of a recorded message. */
export type RecordedHeaders = Readonly<
	Record<string, string | readonly string[] | undefined>
>;

/** A recorded request. */
export type RecordedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: RecordedHeaders;
	readonly body?: string;
};

/** A recorded response. */
export type RecordedResponse = {
	readonly status: number;
	readonly headers?: RecordedHeaders;
	readonly body: string;
};

/** The two parties of an exchange. */
export type Parties =
	| 'caller and entry'
	| 'entry and target'
	| 'entry and platform'
	| 'operator and entry';

/** A recorded request and its outcome. */
export type RecordedExchange = {
	readonly between: Parties;
	readonly request: RecordedRequest;
	/** The response, or a description of how the exchange ended without one. */
	readonly answer: RecordedResponse | string;
};

/** The record of an idempotency key on the host that owns it. */

import type {Buffer} from 'node:buffer';

/** A complete answer, stored to be replayed when the request is sent again. */
export type StoredAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Buffer;
};

/** The outcome of a run. */
export type RunOutcome =
	| {readonly kind: 'answered'; readonly answer: StoredAnswer}
	| {readonly kind: 'not-run'}
	| {readonly kind: 'unknown'};

/** The record of a key. */
export type KeyRecord = {
	/** The digest of the request that came with the key. */
	readonly fingerprint: string;
	/** The timestamp that the key contains. */
	readonly keyTimestampMs: number;
	/** The size of the record, with space reserved for its answer while it runs. */
	readonly sizeBytes: number;
	readonly state: {readonly kind: 'running'} | RunOutcome;
};

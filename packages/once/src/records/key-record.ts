/** What a home remembers of a key. */

import type {Buffer} from 'node:buffer';

/** A whole answer that is kept for resends. */
export type KeptAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Buffer;
};

/** How a run ended. */
export type RunEnd =
	| {readonly kind: 'answered'; readonly answer: KeptAnswer}
	| {readonly kind: 'not-run'}
	| {readonly kind: 'unknown'};

/** The state of a key. */
export type KeyRecord = {
	/** The digest of the request that came with the key. */
	readonly fingerprint: string;
	/** The time that the key carries. */
	readonly keyTimeMs: number;
	/** What the record takes of the bound. */
	readonly sizeBytes: number;
	readonly state: {readonly kind: 'running'} | RunEnd;
};

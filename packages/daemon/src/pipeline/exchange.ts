/** The state of one request while it passes through the pipeline. */

import {type Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {
	CallerClass,
	Failure,
	IdempotencyKey,
	RequestId,
} from '@bilberryscale/core';
import type {ServiceDispatcher, TargetState} from '@bilberryscale/decisions';
import type {Result} from 'ts-results-es';
import type {ByteLease} from '../buffers/byte-budget.js';
import type {Decision} from '../operators/decision-log.js';

/** A request as it was received from the caller. */
export type IncomingCall = {
	readonly requestId: RequestId;
	readonly method: string;
	/** The path and the query as the caller sent them. */
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	/** The names and values of all header lines in turn, as the caller sent them; undefined if they are not known. */
	readonly rawHeaders?: readonly string[];
	readonly body: Readable;
	/** Asks a caller that expects it (`Expect: 100-continue`) for the body; undefined if the caller sends it unasked. */
	readonly requestBody?: () => void;
	/** When the request head was received, on the monotonic clock, in milliseconds. */
	readonly receivedAtMs: number;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Accounts for the memory that the request and its response hold; undefined if nobody does. */
	readonly lease?: ByteLease | undefined;
};

/** What the identify filter determined about a request. */
export type CallIdentity = {
	readonly dispatcher: ServiceDispatcher;
	readonly callerClass: CallerClass;
	readonly isIdempotent: boolean;
	readonly key: IdempotencyKey | undefined;
	/** The path and the query that are sent to the target. */
	readonly targetPath: string;
	/** The deadline on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
};

/** A response head and its body, which may still be streaming. */
export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Readable | Buffer;
	/**
	 * Whether the body ends only when the connection closes.
	 *
	 * @remarks A truncated body of this kind can look complete, so the connection
	 * to the caller must end with the body too.
	 */
	readonly isCloseDelimited?: boolean;
};

/** The result of a filter: a response to forward, or the failure in its place. */
export type FilterResult = Result<Answer, Failure>;

/** A copy of a request that is on its way to a target or to another host; times are on the monotonic clock, in milliseconds. */
export type SentCopy = {
	/** The id of the target or the address of the host. */
	readonly to: string;
	/** How long the shutdown limit expected the copy to take at the most, in milliseconds. */
	readonly expectedMs: number;
	/** When it was written to the connection; undefined before. */
	writtenAtMs?: number;
};

/** One request and what the filters determined about it. */
export class Exchange {
	readonly incoming: IncomingCall;
	/** The decisions taken so far, recorded for operators. */
	readonly decisions: Decision[] = [];
	/** The complete request body; undefined until it has been read. */
	bodyBytes: Buffer | undefined;
	/** The target of the current attempt. */
	target: TargetState | undefined;
	/** The idempotency key that this host generated, if the request had none. */
	issuedKey: IdempotencyKey | undefined;
	/** Whether the run state of a failure covers every request with the same key. */
	isRunStateOfKey = false;
	/** How many copies were sent to targets. */
	sentCopies = 0;
	/** How many of the copies that were sent targets may have run or may be at work on; undefined if nobody counts them. */
	unsettledCopies: number | undefined;
	/** Checks whether a target could no longer answer before the host shuts down; undefined until that is known. */
	isTooLate: (() => boolean) | undefined;
	/** Gets how long the shutdown limit expects a target to take at the most, in milliseconds; undefined until that is known. */
	getExpectedMs: (() => number) | undefined;
	/** The copy that was sent last; undefined if none was or nobody counts them. */
	lastCopy: SentCopy | undefined;
	#identity: CallIdentity | undefined;

	/**
	 * @param incoming - The request as it was received.
	 */
	constructor(incoming: IncomingCall) {
		this.incoming = incoming;
	}

	/** Gets the result of the identify filter; undefined before it has run. */
	get identity(): CallIdentity | undefined {
		return this.#identity;
	}

	/** Whether a target may have run the request or may be at work on it. */
	get mayHaveRun(): boolean {
		return this.unsettledCopies !== 0;
	}

	/** Sets the result of the identify filter. */
	setIdentity(identity: CallIdentity): void {
		this.#identity = identity;
	}

	/**
	 * Gets the result of the identify filter.
	 *
	 * @returns The identity.
	 * @throws Error if the identify filter has not run.
	 */
	getIdentityOrThrow(): CallIdentity {
		if (this.#identity === undefined) {
			throw new Error(
				`Call ${this.incoming.requestId} has not passed the identify filter.`,
			);
		}

		return this.#identity;
	}
}

/** One call on its way through the pipeline. */

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
import type {Decision} from '../operators/decision-log.js';

/** The call as it came in. */
export type IncomingCall = {
	readonly requestId: RequestId;
	readonly method: string;
	/** The path and the query as the caller wrote them. */
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Readable;
	/** When the head of the request was read, on the monotonic clock. */
	readonly receivedAtMs: number;
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
};

/** What the call asks for, found out by the identify filter. */
export type CallIdentity = {
	readonly dispatcher: ServiceDispatcher;
	readonly callerClass: CallerClass;
	readonly isIdempotent: boolean;
	readonly key: IdempotencyKey | undefined;
	/** The path and the query for the target. */
	readonly targetPath: string;
	/** The deadline on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
};

/** The head of an answer and its body, still to be streamed. */
export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Readable | Buffer;
	/** Whether the caller must see it end with the connection, as it may be cut. */
	readonly isOpenEnded?: boolean;
};

/** The end of a filter: an answer to pass on, or why there is none. */
export type FilterResult = Result<Answer, Failure>;

/** One call and what the filters found out about it. */
export class Exchange {
	readonly incoming: IncomingCall;
	/** What was decided so far, for operators. */
	readonly decisions: Decision[] = [];
	/** The request's body once it is wholly read; undefined while it streams. */
	bodyBytes: Buffer | undefined;
	/** The target of the current attempt. */
	target: TargetState | undefined;
	/** The key that this host made for a call that came without one. */
	issuedKey: IdempotencyKey | undefined;
	/** Whether a refusal speaks of all sends under the key, not of this one. */
	isRunStateOfKey = false;
	#identity: CallIdentity | undefined;

	/**
	 * @param incoming - The call as it came in.
	 */
	constructor(incoming: IncomingCall) {
		this.incoming = incoming;
	}

	/** Gets what the identify filter found out; undefined before it has run. */
	get identity(): CallIdentity | undefined {
		return this.#identity;
	}

	/** Keeps what the identify filter found out. */
	setIdentity(identity: CallIdentity): void {
		this.#identity = identity;
	}

	/**
	 * Gets what the identify filter found out.
	 *
	 * @returns The identity.
	 * @throws Error if the identify filter has not run.
	 */
	getIdentityOrThrow(): CallIdentity {
		if (this.#identity === undefined) {
			throw new Error(
				`The call ${this.incoming.requestId} was not identified before this filter.`,
			);
		}

		return this.#identity;
	}
}

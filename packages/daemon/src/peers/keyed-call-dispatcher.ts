/** Runs keyed calls on this host or forwards them to the key owner. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {
	notRunFailure,
	possiblyRunFailure,
	type Clock,
	type Failure,
} from '@bilberryscale/core';
import type {StoredAnswer, RunOutcome} from '@bilberryscale/once';
import {Err, Ok} from 'ts-results-es';
import type {FilterResult} from '../pipeline/exchange.js';
import type {FleetView} from './fleet-view.js';
import {getFingerprint, type KeyedCall} from './keyed-call.js';
import type {PeerNetwork} from './peer-network.js';

/** The dependencies of a `KeyedCallDispatcher`. */
export type KeyedCallDispatcherOptions = {
	readonly view: FleetView;
	readonly clock: Clock;
	/** Undefined if this host runs without peers. */
	readonly network: PeerNetwork | undefined;
	/** Chooses a target and sends the call to it; continues if the caller disconnects. */
	readonly run: (call: KeyedCall) => Promise<FilterResult>;
};

const maxAnswerBytes = 8 * 1024 * 1024;

/** Dispatches keyed calls so that each key runs at most once. */
export class KeyedCallDispatcher {
	readonly #options: KeyedCallDispatcherOptions;

	/**
	 * @param options - The fleet view, the peer network and what runs a call.
	 */
	constructor(options: KeyedCallDispatcherOptions) {
		this.#options = options;
	}

	/**
	 * Serves a call that a caller sent to this host.
	 *
	 * @param call - The call.
	 * @returns The first answer for the key, or the failure.
	 */
	async serve(call: KeyedCall): Promise<FilterResult> {
		const {view, network} = this.#options;
		const route = view.getRoute(call.key);
		if (route.kind === 'nowhere') {
			return Err(
				possiblyRunFailure('no-tenure', 'No host is known to hold the key.'),
			);
		}

		return route.kind === 'peer' && network !== undefined
			? network.forward(route.peer, call)
			: this.runHere(call);
	}

	/**
	 * Runs a call on this host if it holds the lease for the key.
	 *
	 * @param call - The call.
	 * @returns The first answer for the key, or the failure.
	 */
	async runHere(call: KeyedCall): Promise<FilterResult> {
		const {view} = this.#options;
		const decision = view.beginKey(call.key, getFingerprint(call), call.isNew);
		if (decision === undefined) {
			return Err(
				possiblyRunFailure('no-tenure', 'This host does not serve yet.'),
			);
		}

		switch (decision.kind) {
			case 'replay': {
				return Ok(decision.answer);
			}

			case 'refuse': {
				return Err(decision.failure);
			}

			case 'run': {
				return this.#runAndRecord(call);
			}
		}
	}

	async #runAndRecord(call: KeyedCall): Promise<FilterResult> {
		const {view} = this.#options;
		let outcome: RunOutcome = {kind: 'unknown'};
		try {
			const result = await this.#getBufferedAnswer(call);
			outcome = toRunOutcome(result);
			return result;
		} finally {
			view.finishKey(call.key, outcome);
		}
	}

	async #getBufferedAnswer(call: KeyedCall): Promise<BufferedResult> {
		const result = await this.#options.run(call);
		if (result.isErr()) {
			return result;
		}

		const {status, headers, body} = result.value;
		const bytes = Buffer.isBuffer(body) ? body : await readToBuffer(body);
		return bytes === undefined
			? Err(
					possiblyRunFailure(
						'target-failed',
						'The answer broke or is too large.',
					),
				)
			: Ok({status, headers, body: bytes});
	}
}

type BufferedResult = Ok<StoredAnswer> | Err<Failure>;

function toRunOutcome(result: BufferedResult): RunOutcome {
	if (result.isOk()) {
		return {kind: 'answered', answer: result.value};
	}

	return {kind: result.error.ran};
}

async function readToBuffer(body: Readable): Promise<Buffer | undefined> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of body) {
			chunks.push(chunk as Buffer);
			size += (chunk as Buffer).length;
			if (size > maxAnswerBytes) {
				return undefined;
			}
		}

		return Buffer.concat(chunks);
	} catch {
		return undefined;
	}
}

/**
 * Refuses a call that came without a key while this host holds no bucket in which to generate one.
 *
 * @returns The failure; `not-run` is certain, since no other host knows the key.
 */
export function refuseCallWithoutKey(): FilterResult {
	return Err(notRunFailure('no-tenure', 'This host holds no keys now.'));
}

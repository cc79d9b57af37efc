/** Runs keyed calls here or at the home of their key. */

import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {
	notRun,
	perhapsRun,
	type Clock,
	type Failure,
} from '@bilberryscale/core';
import type {KeptAnswer, RunEnd} from '@bilberryscale/once';
import {Err, Ok} from 'ts-results-es';
import type {FilterResult} from '../pipeline/exchange.js';
import type {FleetView} from './fleet-view.js';
import {getFingerprint, type KeyedCall} from './keyed-call.js';
import type {PeerNetwork} from './peer-network.js';

/** What keyed calls work with. */
export type KeyedCallsOptions = {
	readonly view: FleetView;
	readonly clock: Clock;
	/** Undefined if this host runs without peers. */
	readonly network: PeerNetwork | undefined;
	/** Takes a target and sends; neither is undone if the caller goes. */
	readonly run: (call: KeyedCall) => Promise<FilterResult>;
};

const maxAnswerBytes = 8 * 1024 * 1024;

/** The calls under a key. */
export class KeyedCalls {
	readonly #options: KeyedCallsOptions;

	/**
	 * @param options - The view, the peers and what runs a call.
	 */
	constructor(options: KeyedCallsOptions) {
		this.#options = options;
	}

	/**
	 * Serves a call that a caller sent to this host.
	 *
	 * @param call - The call.
	 * @returns The first answer to the key, or why there is none.
	 */
	async serve(call: KeyedCall): Promise<FilterResult> {
		const {view, network} = this.#options;
		const route = view.getRoute(call.key);
		if (route.kind === 'nowhere') {
			return Err(perhapsRun('no-tenure', 'No host is known to hold the key.'));
		}

		return route.kind === 'peer' && network !== undefined
			? network.forward(route.peer, call)
			: this.runHere(call);
	}

	/**
	 * Runs a call here if this host may.
	 *
	 * @param call - The call.
	 * @returns The first answer to the key, or why there is none.
	 */
	async runHere(call: KeyedCall): Promise<FilterResult> {
		const {view} = this.#options;
		const decision = view.beginKey(call.key, getFingerprint(call), call.isNew);
		if (decision === undefined) {
			return Err(perhapsRun('no-tenure', 'This host does not serve yet.'));
		}

		switch (decision.kind) {
			case 'replay': {
				return Ok(decision.answer);
			}

			case 'refuse': {
				return Err(decision.failure);
			}

			case 'run': {
				return this.#run(call);
			}
		}
	}

	async #run(call: KeyedCall): Promise<FilterResult> {
		const {view} = this.#options;
		let end: RunEnd = {kind: 'unknown'};
		try {
			const result = await this.#getWholeAnswer(call);
			end = getRunEnd(result);
			return result;
		} finally {
			view.finishKey(call.key, end);
		}
	}

	async #getWholeAnswer(call: KeyedCall): Promise<WholeResult> {
		const result = await this.#options.run(call);
		if (result.isErr()) {
			return result;
		}

		const {status, headers, body} = result.value;
		const bytes = Buffer.isBuffer(body) ? body : await readWhole(body);
		return bytes === undefined
			? Err(perhapsRun('target-failed', 'The answer broke or is too large.'))
			: Ok({status, headers, body: bytes});
	}
}

type WholeResult = Ok<KeptAnswer> | Err<Failure>;

function getRunEnd(result: WholeResult): RunEnd {
	if (result.isOk()) {
		return {kind: 'answered', answer: result.value};
	}

	return {kind: result.error.ran};
}

async function readWhole(body: Readable): Promise<Buffer | undefined> {
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
 * Makes the refusal of a call whose key no host can take.
 *
 * @returns The refusal; true since no one else knows the key.
 */
export function refuseNewKey(): FilterResult {
	return Err(notRun('no-tenure', 'This host holds no keys now.'));
}

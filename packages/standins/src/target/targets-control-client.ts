/** Controls the simulated targets of a running cluster. */

import {request} from 'undici';
import type {Endpoint} from '../deployment/address-plan.js';
import type {
	TargetAction,
	TargetBehaviour,
	TargetCounters,
} from './target-behaviour.js';

/** A client of the targets' control server. */
export class TargetsControlClient {
	readonly #baseUrl: string;

	/**
	 * @param endpoint - The address of the control server.
	 */
	constructor(endpoint: Endpoint) {
		this.#baseUrl = `http://${endpoint.address}:${endpoint.port}/targets`;
	}

	/**
	 * Changes the behaviour of a target.
	 *
	 * @param id - The ID of the target.
	 * @param change - The fields to change; the others are kept.
	 */
	async setBehaviour(
		id: string,
		change: Partial<TargetBehaviour>,
	): Promise<void> {
		await this.#post(`${id}/behaviour`, change);
	}

	/**
	 * Performs a one-time action on a target.
	 *
	 * @param id - The ID of the target.
	 * @param action - The action.
	 */
	async performAction(id: string, action: TargetAction): Promise<void> {
		await this.#post(`${id}/actions`, action);
	}

	/**
	 * Gets the counters of a target.
	 *
	 * @param id - The ID of the target.
	 * @returns The counters.
	 */
	async getCounters(id: string): Promise<TargetCounters> {
		const {body} = await request(`${this.#baseUrl}/${id}/counters`);
		return (await body.json()) as TargetCounters;
	}

	async #post(path: string, content: unknown): Promise<void> {
		const response = await request(`${this.#baseUrl}/${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(content),
		});
		const text = await response.body.text();
		if (response.statusCode !== 200) {
			throw new Error(`Control request "${path}" failed: ${text}`);
		}
	}
}

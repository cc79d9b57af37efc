/** Gives orders to the targets' stand-ins of a run. */

import {request} from 'undici';
import type {Endpoint} from '../deployment/address-plan.js';
import type {
	TargetAction,
	TargetBehaviour,
	TargetCounters,
} from './target-behaviour.js';

/** The client of the control port. */
export class TargetsControlClient {
	readonly #baseUrl: string;

	/**
	 * @param endpoint - Where the targets take orders.
	 */
	constructor(endpoint: Endpoint) {
		this.#baseUrl = `http://${endpoint.address}:${endpoint.port}/targets`;
	}

	/**
	 * Changes how a target behaves.
	 *
	 * @param id - The target.
	 * @param change - What changes; the rest stays.
	 */
	async setBehaviour(
		id: string,
		change: Partial<TargetBehaviour>,
	): Promise<void> {
		await this.#post(`${id}/behaviour`, change);
	}

	/**
	 * Makes a target do something once.
	 *
	 * @param id - The target.
	 * @param action - What to do.
	 */
	async act(id: string, action: TargetAction): Promise<void> {
		await this.#post(`${id}/actions`, action);
	}

	/**
	 * Gets what a target has counted.
	 *
	 * @param id - The target.
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
			throw new Error(`${path}: ${text}`);
		}
	}
}

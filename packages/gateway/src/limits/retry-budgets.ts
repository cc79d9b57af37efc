/** Keeps the retry budget of each service. */

import type {ServiceName} from '@bilberryscale/core';
import {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';

/** Makes the budgets on demand. */
export class RetryBudgets {
	readonly #options: RetryBudgetOptions;
	readonly #budgets = new Map<ServiceName, RetryBudget>();

	/**
	 * @param options - The limit and this host's part of it, the same for all services.
	 */
	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/**
	 * Gets the budget of a service.
	 *
	 * @param service - The service.
	 * @returns The budget, which counts from the first call for the service.
	 */
	get(service: ServiceName): RetryBudget {
		const existing = this.#budgets.get(service);
		const budget = existing ?? new RetryBudget(this.#options);
		this.#budgets.set(service, budget);
		return budget;
	}
}

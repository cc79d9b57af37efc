/** The filter and pipeline types, and how filters are chained. */

import type {Exchange, FilterResult} from './exchange.js';

/** Runs the filters that follow the current one. */
export type NextFilter = () => Promise<FilterResult>;

/**
 * One stage of the pipeline.
 *
 * @param exchange - The request and its state.
 * @param next - Runs the rest of the pipeline.
 * @returns The response, or the failure.
 */
export type Filter = (
	exchange: Exchange,
	next: NextFilter,
) => Promise<FilterResult>;

/** A chain of filters. */
export type Pipeline = (exchange: Exchange) => Promise<FilterResult>;

/**
 * Chains filters into a pipeline.
 *
 * @param filters - The filters in order; the last one must not call `next`.
 * @returns The pipeline.
 */
export function makePipeline(filters: readonly Filter[]): Pipeline {
	return async (exchange) => runFilter(filters, 0, exchange);
}

async function runFilter(
	filters: readonly Filter[],
	index: number,
	exchange: Exchange,
): Promise<FilterResult> {
	const filter = filters[index];
	if (filter === undefined) {
		throw new Error('The last filter of the pipeline called next.');
	}

	return filter(exchange, async () => runFilter(filters, index + 1, exchange));
}

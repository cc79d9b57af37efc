/** The filters of the pipeline and how they are put in line. */

import type {Exchange, FilterResult} from './exchange.js';

/** Runs the filters that stand behind the current one. */
export type NextFilter = () => Promise<FilterResult>;

/**
 * One stage of a call's way.
 *
 * @param exchange - The call.
 * @param next - Runs the rest of the way.
 * @returns The answer, or why there is none.
 */
export type Filter = (
	exchange: Exchange,
	next: NextFilter,
) => Promise<FilterResult>;

/** A whole way. */
export type Pipeline = (exchange: Exchange) => Promise<FilterResult>;

/**
 * Puts filters in line.
 *
 * @param filters - The filters in the order of the way; the last calls no next.
 * @returns The whole way.
 */
export function makePipeline(filters: readonly Filter[]): Pipeline {
	return async (exchange) => runFrom(filters, 0, exchange);
}

async function runFrom(
	filters: readonly Filter[],
	index: number,
	exchange: Exchange,
): Promise<FilterResult> {
	const filter = filters[index];
	if (filter === undefined) {
		throw new Error('The last filter of the pipeline called next.');
	}

	return filter(exchange, async () => runFrom(filters, index + 1, exchange));
}

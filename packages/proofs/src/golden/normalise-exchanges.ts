/** Replaces values that differ between runs by placeholders, so that sessions can be compared. */

import {errorResponses, type ErrorKind} from '@bilberryscale/core';
import type {RecordedExchange} from './recorded-exchange.js';

type VolatilePattern = {
	readonly pattern: RegExp;
	readonly name: string;
	/** Whether each distinct value gets a numbered placeholder of its own. */
	readonly isNumbered: boolean;
};

/** The fields of a refusal's body that are read here. */
type Refusal = {
	readonly kind: ErrorKind;
	readonly retryAfterMs: number;
};

const notModifiedStatus = 304;
const maxTextLength = 1500;
const truncatedTextLength = 40;
const timeoutHeader = 'x-request-timeout-ms';
const volatilePatterns: readonly VolatilePattern[] = [
	{
		pattern: /[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}/gv,
		name: 'id',
		isNumbered: true,
	},
	{
		pattern: /(?<![\da-f])[\da-f]{64}(?![\da-f])/gv,
		name: 'digest',
		isNumbered: true,
	},
	{
		pattern: /[\w+\/]{86}==/gv,
		name: 'signature',
		isNumbered: false,
	},
	{
		pattern: /\w{3}, \d{2} \w{3} \d{4} [\d:]{8} GMT/gv,
		name: 'date',
		isNumbered: false,
	},
	{pattern: /127\.\d+(?=\.\d+\.\d+)/gv, name: 'run', isNumbered: false},
];

/**
 * Normalises the exchanges of a session for comparison with its golden file.
 *
 * @param exchanges - The recorded exchanges, in order.
 * @returns One line of JSON for each exchange that is kept.
 */
export function normaliseExchanges(
	exchanges: readonly RecordedExchange[],
): string[] {
	const placeholders = new Map<string, string>();
	const lines = exchanges
		.filter((exchange) => !isUnchangedPoll(exchange))
		.map((exchange) =>
			truncateLongTexts(
				replaceVolatileValues(
					JSON.stringify(maskMeasuredRetryAfter(exchange), maskTimeoutHeader),
					placeholders,
				),
			),
		);
	return lines.filter((line, index) => !isRepeatedPoll(line, lines[index - 1]));
}

/** Whether a long poll of the platform ended without a new value. */
function isUnchangedPoll({answer}: RecordedExchange): boolean {
	return typeof answer !== 'string' && answer.status === notModifiedStatus;
}

/** Masks `retryAfterMs` where it was computed from measurements instead of taken from the answer table. */
function maskMeasuredRetryAfter(exchange: RecordedExchange): RecordedExchange {
	const {answer} = exchange;
	if (typeof answer === 'string' || !answer.body.includes('retryAfterMs')) {
		return exchange;
	}

	const {kind, retryAfterMs} = JSON.parse(answer.body) as Refusal;
	if (retryAfterMs === errorResponses[kind].retryAfterMs) {
		return exchange;
	}

	const body = answer.body.replace(
		`"retryAfterMs":${retryAfterMs}`,
		'"retryAfterMs":"<milliseconds>"',
	);
	const headers = {...answer.headers, 'content-length': '<bytes>'};
	return {...exchange, answer: {...answer, headers, body}};
}

function maskTimeoutHeader(key: string, value: unknown): unknown {
	return key === timeoutHeader && typeof value === 'string'
		? '<milliseconds>'
		: value;
}

function truncateLongTexts(line: string): string {
	return JSON.stringify(JSON.parse(line), (_, value: unknown) =>
		typeof value === 'string' && value.length > maxTextLength
			? `${value.slice(0, truncatedTextLength)}<${value.length} characters>`
			: value,
	);
}

function replaceVolatileValues(
	line: string,
	placeholders: Map<string, string>,
): string {
	let result = line;
	for (const {pattern, name, isNumbered} of volatilePatterns) {
		result = result.replaceAll(pattern, (match) =>
			isNumbered ? getPlaceholder(match, name, placeholders) : `<${name}>`,
		);
	}

	return result;
}

function getPlaceholder(
	match: string,
	name: string,
	placeholders: Map<string, string>,
): string {
	const knownPlaceholder = placeholders.get(match);
	if (knownPlaceholder !== undefined) {
		return knownPlaceholder;
	}

	const count = [...placeholders.values()].filter((placeholder) =>
		placeholder.startsWith(`<${name}-`),
	).length;
	const newPlaceholder = `<${name}-${count + 1}>`;
	placeholders.set(match, newPlaceholder);
	return newPlaceholder;
}

/** Whether a read of the platform repeats the previous exchange with the same response. */
function isRepeatedPoll(line: string, previous: string | undefined): boolean {
	return line === previous && line.includes('"entry and platform"');
}

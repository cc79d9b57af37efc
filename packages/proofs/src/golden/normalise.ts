/** Replaces what differs from run to run, so that sessions can be compared. */

import {errorResponses, type ErrorKind} from '@bilberryscale/core';
import type {RecordedExchange} from './recorded-exchange.js';

type Replacement = {
	readonly pattern: RegExp;
	readonly name: string;
	/** Whether equal texts get the same number. */
	readonly isNumbered: boolean;
};

/** What a refusal says that is looked at here. */
type Refusal = {
	readonly kind: ErrorKind;
	readonly retryAfterMs: number;
};

const notModified = 304;
const longText = 1500;
const shownText = 40;
const timeoutHeader = 'x-request-timeout-ms';
const replacements: readonly Replacement[] = [
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
 * Gets the lines of a session as they stand in its golden file.
 *
 * @param exchanges - What was recorded, in order.
 * @returns One line of JSON for each exchange.
 */
export function normalise(exchanges: readonly RecordedExchange[]): string[] {
	const names = new Map<string, string>();
	const lines = exchanges
		.filter((exchange) => !isEndOfWatch(exchange))
		.map((exchange) =>
			shorten(
				replaceAll(JSON.stringify(hideMeasuredTime(exchange), hideTime), names),
			),
		);
	return lines.filter((line, index) => !isRepeatedRead(line, lines[index - 1]));
}

/** Tells whether a watch of the platform just ended with nothing new. */
function isEndOfWatch({answer}: RecordedExchange): boolean {
	return typeof answer !== 'string' && answer.status === notModified;
}

/** Hides when to come back where it was measured, not read from the table. */
function hideMeasuredTime(exchange: RecordedExchange): RecordedExchange {
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

function hideTime(key: string, value: unknown): unknown {
	return key === timeoutHeader && typeof value === 'string'
		? '<milliseconds>'
		: value;
}

function shorten(line: string): string {
	return JSON.stringify(JSON.parse(line), (_, value: unknown) =>
		typeof value === 'string' && value.length > longText
			? `${value.slice(0, shownText)}<${value.length} characters>`
			: value,
	);
}

function replaceAll(line: string, names: Map<string, string>): string {
	let result = line;
	for (const {pattern, name, isNumbered} of replacements) {
		result = result.replaceAll(pattern, (found) =>
			isNumbered ? getName(found, name, names) : `<${name}>`,
		);
	}

	return result;
}

function getName(
	found: string,
	kind: string,
	names: Map<string, string>,
): string {
	const known = names.get(found);
	if (known !== undefined) {
		return known;
	}

	const count = [...names.values()].filter((name) =>
		name.startsWith(`<${kind}-`),
	).length;
	const name = `<${kind}-${count + 1}>`;
	names.set(found, name);
	return name;
}

/** Tells whether the entry just asked the platform again and got the same. */
function isRepeatedRead(line: string, former: string | undefined): boolean {
	return line === former && line.includes('"entry and platform"');
}

/** The report of `config check`, as a JSON document and as text. */

import {
	describeDecodeError,
	formatConfigValue,
	getConfigKey,
} from '@bilberryscale/fleet-platform';
import type {
	FindingKind,
	FindingSeverity,
	PlanDifference,
	PlanEntry,
	PlanFinding,
	PlanValue,
	RoutingPlan,
} from '@bilberryscale/gateway';
import {formatTable} from './format-table.js';

/** The entry that a finding or a difference refers to. */
export type ReportedEntry = {
	readonly kind: PlanEntry['kind'];
	/** The name of the route, service or account; null for the configuration as a whole. */
	readonly name: string | null;
	/** The host of a route; null for other entries. */
	readonly host: string | null;
	/** The path prefix of a route; null for other entries. */
	readonly prefix: string | null;
};

/** A finding, by the keys and values of the configuration. */
export type ReportedFinding = {
	readonly severity: FindingSeverity;
	/** The kind of finding; `invalid` if the configuration can't be decoded. */
	readonly kind: FindingKind | 'invalid';
	readonly entry: ReportedEntry;
	readonly key: string;
	/** The value seen; null if it is not shown, as it may contain a key of an account. */
	readonly value: PlanValue | null;
	readonly allowed: string;
};

/** A difference from the version in force; key, values and detail are null if an entry was added or removed. */
export type ReportedDifference = {
	readonly change: PlanDifference['change'];
	readonly entry: ReportedEntry;
	readonly key: string | null;
	readonly former: PlanValue | null;
	readonly current: PlanValue | null;
	readonly detail: string | null;
};

/** The JSON document that `--json` prints. */
export type ConfigReport = {
	readonly file: string;
	/** The version in the file; null if the configuration can't be decoded. */
	readonly version: string | null;
	/** The version in force; null if none was given. */
	readonly against: {readonly source: string; readonly version: string} | null;
	readonly findings: readonly ReportedFinding[];
	readonly differences: readonly ReportedDifference[];
};

const unprintableCharacter = /[^ -~]/gv;
const hexRadix = 16;
const absentValue = '-';

/**
 * Formats the version of a plan as operators write it.
 *
 * @param plan - The plan.
 * @returns The version.
 */
export function toVersionText({version}: RoutingPlan): string {
	return String(formatConfigValue('version', version));
}

/**
 * Makes the finding for a configuration that can't be decoded.
 *
 * @param message - The error message of the decoder.
 * @returns The finding.
 */
export function makeDecodeFinding(message: string): ReportedFinding {
	const {key, value, allowed} = describeDecodeError(message);
	return {
		severity: 'error',
		kind: 'invalid',
		entry: toReportedEntry({kind: 'plan'}),
		key,
		value: value ?? null,
		allowed,
	};
}

/**
 * Translates a finding into the names of the configuration.
 *
 * @param finding - The finding.
 * @returns The finding as it is reported.
 */
export function toReportedFinding(finding: PlanFinding): ReportedFinding {
	const {severity, kind, entry, field, value, allowed} = finding;
	return {
		severity,
		kind,
		entry: toReportedEntry(entry),
		key: getConfigKey(field),
		value: formatConfigValue(field, value),
		allowed,
	};
}

/**
 * Translates a difference into the names of the configuration.
 *
 * @param difference - The difference.
 * @returns The difference as it is reported.
 */
export function toReportedDifference(
	difference: PlanDifference,
): ReportedDifference {
	const {change} = difference;
	const entry = toReportedEntry(difference.entry);
	if (difference.change !== 'changed') {
		return {
			change,
			entry,
			key: null,
			former: null,
			current: null,
			detail: null,
		};
	}

	const {field, former, current, detail = null} = difference;
	const format = (value: PlanValue | undefined) =>
		value === undefined ? null : formatConfigValue(field, value);
	return {
		change,
		entry,
		key: getConfigKey(field),
		former: format(former),
		current: format(current),
		detail,
	};
}

/**
 * Formats a report for people.
 *
 * @param report - The report.
 * @returns The lines: a summary, a table of findings and a table of differences.
 */
export function formatConfigReport(report: ConfigReport): readonly string[] {
	const {against, findings, differences} = report;
	return [
		formatSummary(report),
		...(findings.length === 0 ? [] : ['', ...formatFindings(findings)]),
		...(against === null
			? []
			: [
					'',
					`${formatCount(differences.length, 'difference')} from version ${against.version} of ${against.source}`,
				]),
		...(differences.length === 0
			? []
			: ['', ...formatDifferences(differences)]),
	];
}

function formatSummary({file, version, findings}: ConfigReport): string {
	const errorCount = findings.filter(
		({severity}) => severity === 'error',
	).length;
	const result =
		findings.length === 0
			? 'ok'
			: `${formatCount(errorCount, 'error')}, ${formatCount(findings.length - errorCount, 'warning')}`;
	return version === null
		? `${file}: ${result}`
		: `${file}: ${result}, version ${version}`;
}

function formatCount(count: number, noun: string): string {
	return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

function formatFindings(
	findings: readonly ReportedFinding[],
): readonly string[] {
	return formatTable([
		['severity', 'finding', 'entry', 'key', 'value', 'allowed'],
		...findings.map(({severity, kind, entry, key, value, allowed}) => [
			severity,
			kind,
			formatEntry(entry),
			formatText(key),
			formatValue(value),
			formatText(allowed),
		]),
	]);
}

function formatDifferences(
	differences: readonly ReportedDifference[],
): readonly string[] {
	return formatTable([
		['change', 'entry', 'key', 'former', 'current', 'detail'],
		...differences.map(({change, entry, key, former, current, detail}) => [
			change,
			formatEntry(entry),
			key ?? absentValue,
			formatValue(former),
			formatValue(current),
			detail ?? '',
		]),
	]);
}

function formatEntry({kind, name, host, prefix}: ReportedEntry): string {
	if (kind === 'plan') {
		return 'configuration';
	}

	const path = host === null ? '' : ` ${host} ${prefix}`;
	return formatText(`${kind} ${name}${path}`);
}

function formatValue(value: PlanValue | null): string {
	return value === null ? absentValue : formatText(String(value));
}

/** Escapes control characters, which would act on the terminal, and letters that look like others. */
function formatText(text: string): string {
	return text.replaceAll(
		unprintableCharacter,
		(character) =>
			String.raw`\u{${character.codePointAt(0)!.toString(hexRadix)}}`,
	);
}

function toReportedEntry(entry: PlanEntry): ReportedEntry {
	return {
		kind: entry.kind,
		name: entry.kind === 'plan' ? null : entry.name,
		host: entry.kind === 'route' ? entry.host : null,
		prefix: entry.kind === 'route' ? entry.pathPrefix : null,
	};
}

/** `audit`: merges the audit trails of hosts and verifies the hash chain of each. */

import {verifyAuditTrail, type AuditRecord} from '@bilberryscale/daemon';
import {z} from 'zod';
import {
	queryHosts,
	hostOptions,
	readHostSelectionOrThrow,
	type HostResponses,
	type HostSelection,
} from '../hosts/query-hosts.js';
import {exitCodes, type ExitCode} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command, type CommandContext} from './command.js';
import type {Flags} from './flags.js';

const recordSchema = z.looseObject({
	sequence: z.int().nonnegative(),
	at: z.string(),
	host: z.string(),
	incarnation: z.string(),
	kind: z.string(),
	subject: z.string(),
	cause: z.string(),
	former: z.string().optional(),
	current: z.string().optional(),
	previousHash: z.string(),
	hash: z.string(),
});
// A record's hash covers its fields in the order in which the host sent them, so records are validated but not rebuilt.
const recordsSchema = z.array(
	z.custom<AuditRecord>(
		(value) => recordSchema.safeParse(value).success,
		'is not an audit record',
	),
);

const pollIntervalMs = 1000;

/** The `audit` command. */
export const audit: Command = {
	usage: 'audit',
	summary: 'Merge and verify the audit trails of hosts, and show gaps',
	options: [
		...hostOptions,
		{
			usage: '--follow',
			summary: 'Keep printing new records until interrupted with Ctrl+C',
		},
		{usage: '--polls <count>', summary: 'Stop following after this many polls'},
		jsonOption,
	],
	examples: [
		'audit --hosts-file hosts.txt --token-file token.txt',
		'audit --host 10.0.0.1:8081 --follow',
	],
	async run(_args, flags, context) {
		const selection = readHostSelectionOrThrow(flags, context);
		const maxPolls = flags.getNumber('polls', (value) => value > 0, 'above 0');
		const lastRecords = new Map<string, AuditRecord>();
		let code = await pollHosts(selection, lastRecords, flags, context);
		const pollCount = flags.isSet('follow') ? (maxPolls ?? Infinity) : 0;
		for (let pollIndex = 0; pollIndex < pollCount; pollIndex++) {
			await new Promise<void>((resolve) => {
				context.clock.schedule(pollIntervalMs, resolve);
			});
			const nextCode = await pollHosts(selection, lastRecords, flags, context);
			code = nextCode === exitCodes.success ? code : nextCode;
		}

		return code;
	},
};

async function pollHosts(
	selection: HostSelection,
	lastRecords: Map<string, AuditRecord>,
	flags: Flags,
	context: CommandContext,
): Promise<ExitCode> {
	const {responses, faults}: HostResponses<readonly AuditRecord[]> =
		await queryHosts(
			selection,
			(host) => getAuditPath(lastRecords.get(host)),
			recordsSchema,
			context,
		);
	// Missing records, and records that were changed or do not follow the record before them.
	const breaks = responses.flatMap(({host, value}) =>
		verifyAuditTrail(value, lastRecords.get(host)).map(
			(fault) => `${host}: ${fault}`,
		),
	);
	for (const {host, value} of responses) {
		const last = value.at(-1);
		if (last !== undefined) {
			lastRecords.set(host, last);
		}
	}

	const records = responses
		.flatMap(({value}) => value)
		.toSorted((a, b) => compareStrings(a.at, b.at) || a.sequence - b.sequence);
	const isEmpty = records.length + breaks.length + faults.length === 0;
	if (!flags.isSet('follow') || !isEmpty) {
		printReport(context.output, flags.isSet('json'), {
			document: {records, breaks, faults},
			lines: records.map((record) => formatRecord(record)),
			faults: [...breaks, ...faults],
		});
	}

	if (faults.length > 0) {
		return exitCodes.incomplete;
	}

	return breaks.length > 0 ? exitCodes.checkFailed : exitCodes.success;
}

function getAuditPath(last: AuditRecord | undefined): string {
	return last === undefined
		? '/audit?from=0'
		: `/audit?from=${last.sequence + 1}&incarnation=${last.incarnation}`;
}

function compareStrings(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

function formatRecord(record: AuditRecord): string {
	const {at, host, sequence, kind, subject, cause, former, current} = record;
	const before = former === undefined ? '' : `; before: ${former}`;
	const after = current === undefined ? '' : `; now: ${current}`;
	return `${at} ${host} #${sequence} ${kind} ${subject}: ${cause}${before}${after}`;
}

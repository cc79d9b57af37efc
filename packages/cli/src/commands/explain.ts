/** `explain`: shows the decisions about a recent request, collected from all hosts. */

import {z} from 'zod';
import {
	queryHosts,
	hostOptions,
	readHostSelectionOrThrow,
	type HostResponse,
} from '../hosts/query-hosts.js';
import {exitCodes, type ExitCode} from '../output/exit-codes.js';
import {printReport} from '../output/output.js';
import {UsageError} from '../output/usage-error.js';
import {jsonOption, type Command} from './command.js';

const callRecordSchema = z.looseObject({
	endedAt: z.string(),
	requestId: z.string(),
	service: z.string().optional(),
	outcome: z.string(),
	durationMs: z.number(),
	decisions: z.array(
		z.looseObject({
			afterMs: z.number(),
			kind: z.string(),
			subject: z.string(),
		}),
	),
});
const callRecordsSchema = z.array(callRecordSchema);

type CallRecord = z.infer<typeof callRecordSchema>;

/** An ID without spaces, which separate the arguments of a shell. */
const requestIdPattern = /^[!-~]{1,256}$/v;

/** The `explain` command. */
export const explain: Command = {
	usage: 'explain <requestId>',
	summary: 'Show the decisions about a recent request',
	options: [...hostOptions, jsonOption],
	examples: [
		'explain 0198c1d2-7a00-7000-8000-000000000001 --hosts-file hosts.txt',
	],
	async run([requestId = ''], flags, context) {
		if (!requestIdPattern.test(requestId)) {
			throw new UsageError(
				`<requestId>: must be 1 to 256 visible characters of ASCII; seen: ${requestId}`,
			);
		}

		const selection = readHostSelectionOrThrow(flags, context);
		const {responses, faults} = await queryHosts(
			selection,
			() => `/explain/${encodeURIComponent(requestId)}`,
			callRecordsSchema,
			context,
		);
		const records = responses.flatMap(({host, value}) =>
			value.map((record) => ({host, value: record})),
		);
		printReport(context.output, flags.isSet('json'), {
			document: {
				calls: records.map(({host, value}) => ({host, ...value})),
				faults,
			},
			lines:
				records.length > 0
					? records.flatMap((record) => formatRecord(record))
					: [`no responding host has a record of request ${requestId}`],
			faults,
		});
		return getExitCode(records.length, faults.length);
	},
};

function formatRecord({
	host,
	value,
}: HostResponse<CallRecord>): readonly string[] {
	const {endedAt, service, outcome, durationMs, decisions} = value;
	return [
		`${endedAt} ${host} service ${service ?? 'unknown'}: ${outcome} after ${durationMs.toFixed(1)} ms`,
		...decisions.map(
			({afterMs, kind, subject}) =>
				`  ${afterMs.toFixed(1)} ms ${kind}: ${subject}`,
		),
	];
}

function getExitCode(recordCount: number, faultCount: number): ExitCode {
	if (faultCount > 0) {
		return exitCodes.incomplete;
	}

	return recordCount > 0 ? exitCodes.success : exitCodes.checkFailed;
}

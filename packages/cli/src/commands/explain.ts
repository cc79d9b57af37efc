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

const callSchema = z.looseObject({
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
const callsSchema = z.array(callSchema);

type Call = z.infer<typeof callSchema>;

const requestIdPattern = /^[\w\-]{1,64}$/v;

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
				`<requestId>: must be 1 to 64 letters, digits, - or _; seen: ${requestId}`,
			);
		}

		const selection = readHostSelectionOrThrow(flags, context);
		const {responses, faults} = await queryHosts(
			selection,
			() => `/explain/${requestId}`,
			callsSchema,
			context,
		);
		const calls = responses.flatMap(({host, value}) =>
			value.map((call) => ({host, value: call})),
		);
		printReport(context.output, flags.isSet('json'), {
			document: {
				calls: calls.map(({host, value}) => ({host, ...value})),
				faults,
			},
			lines:
				calls.length > 0
					? calls.flatMap((call) => formatCall(call))
					: [`no responding host has a record of request ${requestId}`],
			faults,
		});
		return getExitCode(calls.length, faults.length);
	},
};

function formatCall({host, value}: HostResponse<Call>): readonly string[] {
	const {endedAt, service, outcome, durationMs, decisions} = value;
	return [
		`${endedAt} ${host} service ${service ?? 'unknown'}: ${outcome} after ${durationMs.toFixed(1)} ms`,
		...decisions.map(
			({afterMs, kind, subject}) =>
				`  ${afterMs.toFixed(1)} ms ${kind}: ${subject}`,
		),
	];
}

function getExitCode(callCount: number, faultCount: number): ExitCode {
	if (faultCount > 0) {
		return exitCodes.incomplete;
	}

	return callCount > 0 ? exitCodes.success : exitCodes.checkFailed;
}
